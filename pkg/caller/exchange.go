package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/http1"
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

// MaxAnswerBytes bounds the body of an answer; it is more than a node passes on.
const MaxAnswerBytes = 16 << 20

// exchange sends the request to one node and waits at most Options.Patience.
func (c *Caller) exchange(ctx context.Context, node string, r Request, key string) (Answer, *Refusal) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Patience)
	defer cancel()

	req, err := c.newRequest(ctx, node, r, key)
	if err != nil {
		return Answer{}, &Refusal{ID: "caller.request", Detail: err.Error(), Ran: NotRun}
	}

	resp, err := c.options.Client.Do(req)
	if err != nil {
		return Answer{}, noAnswerRefusal(node, http1.Failure(err))
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := readBody(resp)
	if err != nil {
		return Answer{}, noAnswerRefusal(node, err)
	}

	c.cacheKeyPrefix(node, resp.Header.Get(HeaderHome))

	if resp.Header.Get(HeaderUpstream) != "" {
		return Answer{
			Status: resp.StatusCode, Header: resp.Header, Body: body,
			Key: resp.Header.Get(HeaderKey), Repeat: resp.Header.Get(HeaderRepeat) != "",
		}, nil
	}

	return Answer{}, decodeRefusal(node, body)
}

// readBody returns the body of a valid answer. Nodes send the length of each answer, so that one
// which ends with its connection was cut short.
func readBody(resp *http.Response) ([]byte, error) {
	if err := http1.Check(resp); err != nil {
		return nil, err
	}

	if http1.EndsWithConnection(resp) {
		return nil, errNotNodeReply
	}

	return http1.ReadAll(http1.Body(resp), MaxAnswerBytes)
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

func decodeRefusal(node string, body []byte) *Refusal {
	var r Refusal
	if json.Unmarshal(body, &r) != nil || r.ID == "" {
		return noAnswerRefusal(node, errNotNodeReply)
	}

	return &r
}

// noAnswerRefusal returns the refusal for a node that did not answer. The outcome is
// unknown: only the owner node of the key can report that the request did not run.
func noAnswerRefusal(node string, err error) *Refusal {
	var op *net.OpError

	notSent := errors.As(err, &op) && op.Op == "dial"

	return &Refusal{ID: "caller.no_answer", Detail: err.Error(), Node: node, Ran: Unknown, noAnswer: true, notSent: notSent}
}

var errNotNodeReply = &Refusal{ID: "caller.not_a_node", Detail: "the answer is not one of a node", Ran: Unknown}
