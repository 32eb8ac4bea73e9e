package upload_test

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/forward/upload"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
)

// node is a gate without a network. Messages are encoded and decoded as between nodes.
type node struct {
	store *upload.Store
	parts int
	lost  int // the number of the part that is not delivered
}

func (n *node) Do(ctx context.Context, _ string, _ peer.Lane, method string, in, _ any) error {
	n.parts++
	if n.parts == n.lost {
		return nil
	}

	if method != forward.MethodPart {
		return peer.ErrNoMethod
	}

	_, err := n.store.ServePart(ctx, in.(forward.Part))

	return err
}

func run(_ context.Context, r forward.Request) (forward.Reply, error) {
	return forward.Reply{Result: forward.Answered, Status: 200, Body: r.Body}, nil
}

func send(t *testing.T, n *node, body []byte) (forward.Reply, error) {
	t.Helper()

	id, err := upload.Send(t.Context(), n, "gate", body)
	if err != nil {
		return forward.Reply{}, err
	}

	return n.store.Runs(run)(t.Context(), forward.Uploaded{Upload: id})
}

func TestBodyInPartsIsRunWhole(t *testing.T) {
	budget := membudget.New(64 << 20)
	body := bytes.Repeat([]byte("0123456789"), 1<<20)
	n := &node{store: upload.NewStore(budget)}

	reply, err := send(t, n, body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(reply.Body, body))
	assert.Assert(t, n.parts > 1)
	assert.Equal(t, budget.Usage().Held, 0)
}

// Guards against a call that is run with a part of its body, or without one.
func TestCallWithoutItsWholeBodyIsRefused(t *testing.T) {
	body := make([]byte, 10<<20)

	for _, lost := range []int{1, 2, 40} {
		n := &node{store: upload.NewStore(nil), lost: lost}

		reply, err := send(t, n, body)
		assert.Assert(t, err != nil || reply.Result == forward.Refused, "without part %d of %d: %v", lost, n.parts, reply.Result)
	}

	reply, err := upload.NewStore(nil).Runs(run)(t.Context(), forward.Uploaded{Upload: "unknown"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Result, forward.Refused)
}

// Guards against bodies that stay in memory since their entry node has ended.
func TestPartsWithoutACallAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := membudget.New(64 << 20)
		n := &node{store: upload.NewStore(budget)}

		_, err := upload.Send(t.Context(), n, "gate", make([]byte, 10<<20))
		assert.NilError(t, err)
		assert.Equal(t, budget.Usage().Held, 10<<20)

		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, budget.Usage().Held, 0)
	})
}

// Guards against a gate whose memory a body exceeds.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	n := &node{store: upload.NewStore(membudget.New(8 << 20))}

	_, err := send(t, n, make([]byte, 10<<20))
	assert.ErrorIs(t, err, peer.ErrOverloaded)
	assert.Equal(t, n.parts, 1)
}

// Guards against a notice that gets lost behind a request in an array.
func TestUploadedRequestKeepsItsNotice(t *testing.T) {
	in := forward.Uploaded{Upload: "u", Request: forward.Request{
		ID: "a", Service: "s", Method: "POST", URI: "/", Notice: &forward.Notice{Instance: "i"},
	}}

	for _, notice := range []*forward.Notice{in.Request.Notice, nil} {
		in.Request.Notice = notice

		data, err := msgpack.Marshal(in)
		assert.NilError(t, err)

		var out forward.Uploaded

		assert.NilError(t, peer.Decode(data, &out))
		assert.DeepEqual(t, out.Upload, in.Upload)
		assert.Equal(t, out.Request.ID, "a")
		assert.Equal(t, out.Request.Notice != nil, notice != nil)
	}
}
