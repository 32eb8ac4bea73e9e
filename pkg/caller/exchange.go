package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Headers between callers and nodes.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderHome     = "Pollencart-Home"
	HeaderRan      = "Pollencart-Ran"
	HeaderRepeat   = "Pollencart-Repeat"
	HeaderUpstream = "Pollencart-Upstream"
	HeaderDeadline = "Pollencart-Deadline-Ms"
	HeaderCaller   = "Pollencart-Caller"
)

// exchange sends the request to one node.
func (c *Caller) exchange(ctx context.Context, node string, r Request, key string) (Answer, *Refusal) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Patience)
	defer cancel()

	req, err := c.newRequest(ctx, node, r, key)
	if err != nil {
		return Answer{}, &Refusal{ID: "caller.request", Detail: err.Error(), Ran: NotRun}
	}

	resp, err := c.options.Client.Do(req)
	if err != nil {
		return Answer{}, lost(node, err)
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, lost(node, err)
	}

	c.learn(node, resp.Header.Get(HeaderHome))

	if resp.Header.Get(HeaderUpstream) != "" {
		return Answer{
			Status: resp.StatusCode, Header: resp.Header, Body: body,
			Key: resp.Header.Get(HeaderKey), Repeat: resp.Header.Get(HeaderRepeat) != "",
		}, nil
	}

	return Answer{}, refusalOf(node, body)
}

func (c *Caller) newRequest(ctx context.Context, node string, r Request, key string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+node+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}

	for name, values := range r.Header {
		req.Header[name] = values
	}

	if key != "" {
		req.Header.Set(HeaderKey, key)
	}

	if c.options.Name != "" {
		req.Header.Set(HeaderCaller, c.options.Name)
	}

	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}

	return req, nil
}

func refusalOf(node string, body []byte) *Refusal {
	var r Refusal
	if json.Unmarshal(body, &r) != nil || r.ID == "" {
		return lost(node, errNotANode)
	}

	return &r
}

// lost is the refusal of a node that did not answer. The request may have run:
// only the home of its key can say that it did not.
func lost(node string, err error) *Refusal {
	var op *net.OpError

	unsent := errors.As(err, &op) && op.Op == "dial"

	return &Refusal{ID: "caller.no_answer", Detail: err.Error(), Node: node, Ran: Unknown, noAnswer: true, unsent: unsent}
}

var errNotANode = &Refusal{ID: "caller.not_a_node", Detail: "the answer is not one of a node", Ran: Unknown}
