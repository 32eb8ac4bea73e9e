package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/http1/transport"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Errors of requests to a node.
var (
	// ErrNode reports that the node could not be reached, or that it answered with an error
	// status without an error ID.
	ErrNode = errs.New("operator.node", http.StatusServiceUnavailable, "the node can't be asked")
	// ErrNoAnswer reports that the answer was lost; the node may have executed the request.
	ErrNoAnswer = errs.New("operator.no_answer", http.StatusGatewayTimeout, "no answer from the node")
)

// Client sends requests to the control API of one node.
type Client struct {
	address string
	base    string
	token   string
	http    *http.Client
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithToken sends the operators' token with each request.
func WithToken(token string) ClientOption { return func(c *Client) { c.token = token } }

// WithTLS makes the client connect over TLS.
func WithTLS(config *tls.Config) ClientOption {
	return func(c *Client) {
		c.base = "https://" + c.address
		c.http.Transport = transport.New(&http.Transport{TLSClientConfig: config})
	}
}

// NewClient returns a client for the node with the given control address.
func NewClient(address string, opts ...ClientOption) *Client {
	const timeout = 30 * time.Second

	c := &Client{address: address, base: "http://" + address, http: &http.Client{Timeout: timeout, Transport: transport.NewDefault()}}
	for _, opt := range opts {
		opt(c)
	}

	return c
}

// Check returns the faults that the node finds in a tree.
func (c *Client) Check(ctx context.Context, file string, tree []byte) ([]settings.Fault, error) {
	var out CheckResult

	err := c.do(ctx, http.MethodPost, pathCheck, url.Values{"file": {file}}, tree, &out)

	return out.Faults, err
}

// AcceptRequest is a request to accept a settings tree.
type AcceptRequest struct {
	File string
	Tree []byte
	Base uint64
	ID   string
	// Again marks a retry of an earlier request with the same ID whose outcome is unknown.
	Again    bool
	Operator string
	Message  string
}

// Accept makes the tree the newest accepted version.
func (c *Client) Accept(ctx context.Context, r AcceptRequest) (settings.Version, error) {
	var out settings.Version

	err := c.do(ctx, http.MethodPost, pathAccept, r.query(), r.Tree, &out)

	return out, err
}

// Plan returns the changes that accepting the tree would make, without accepting it.
func (c *Client) Plan(ctx context.Context, r AcceptRequest) ([]settings.Change, error) {
	q := r.query()
	q.Set("dry-run", "1")

	var out PlanResult

	err := c.do(ctx, http.MethodPost, pathAccept, q, r.Tree, &out)

	return out.Changes, err
}

func (r AcceptRequest) query() url.Values {
	q := url.Values{
		"file": {r.File}, "base": {strconv.FormatUint(r.Base, 10)}, "id": {r.ID},
		"operator": {r.Operator}, "message": {r.Message},
	}

	if r.Again {
		q.Set("again", "1")
	}

	return q
}

// Version returns an accepted tree by its number; 0 is the newest.
func (c *Client) Version(ctx context.Context, number uint64) (TreeText, error) {
	var out TreeText

	err := c.do(ctx, http.MethodGet, pathTree, url.Values{"version": {strconv.FormatUint(number, 10)}}, nil, &out)

	return out, err
}

// Tree returns the active tree of the node.
func (c *Client) Tree(ctx context.Context) (TreeText, error) {
	var out TreeText

	err := c.do(ctx, http.MethodGet, pathTree, nil, nil, &out)

	return out, err
}

// History returns the accepted versions, newest first.
func (c *Client) History(ctx context.Context) ([]settings.Version, error) {
	var out []settings.Version

	err := c.do(ctx, http.MethodGet, pathHistory, nil, nil, &out)

	return out, err
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status

	err := c.do(ctx, http.MethodGet, pathStatus, nil, nil, &out)

	return out, err
}

// Timeline returns the merged events of all nodes.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Entry, error) {
	q := url.Values{"call": {f.Call}, "key": {f.Key}, "node": {f.Node}, "event": {f.Event}}
	if f.Limit > 0 {
		q.Set("limit", strconv.Itoa(f.Limit))
	}

	if f.Version > 0 {
		q.Set("version", strconv.FormatUint(f.Version, 10))
	}

	if f.SinceMs > 0 {
		q.Set("since", strconv.FormatInt(f.SinceMs, 10))
	}

	var out []timeline.Entry

	err := c.do(ctx, http.MethodGet, pathTimeline, q, nil, &out)

	return out, err
}

// maxAnswerBytes bounds the answer of a node; the largest are time lines of all nodes.
const maxAnswerBytes = 64 << 20

func (c *Client) do(ctx context.Context, method, path string, q url.Values, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return ErrNode.Wrap(err)
	}

	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}

	resp, err := c.http.Do(req)
	if err != nil {
		return requestError(err)
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := http1.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return ErrNoAnswer.Wrap(err)
	}

	if resp.StatusCode >= http.StatusBadRequest {
		var e errs.Error
		if json.Unmarshal(data, &e) != nil || e.ID == "" {
			return ErrNode.With("status %d", resp.StatusCode)
		}

		return &e
	}

	if err := json.Unmarshal(data, out); err != nil {
		return ErrNoAnswer.Wrap(err)
	}

	return nil
}

// requestError distinguishes a node that was not reached from a lost answer: in the second
// case the node may have accepted the version.
func requestError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNode.Wrap(err)
	}

	return ErrNoAnswer.Wrap(err)
}
