package forward_test

import (
	"bytes"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/peer"
)

// shortReply is a reply of a version without notices, whose array ends after Crashes.
type shortReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Result  forward.Result `msgpack:"Result"`
	Status  int            `msgpack:"Status"`
	Header  []string       `msgpack:"Header"`
	Body    []byte         `msgpack:"Body"`
	Reason  string         `msgpack:"Reason"`
	RetryMs int64          `msgpack:"RetryMs"`
	Load    forward.Load   `msgpack:"Load"`
	HeldMs  int64          `msgpack:"HeldMs"`
	Crashes []string       `msgpack:"Crashes"`
}

// Nodes of the version without notices can't read replies, or theirs can't be read.
func TestRepliesAreReadByNodesWithoutNotices(t *testing.T) {
	data, err := msgpack.Marshal(forward.Reply{
		Result: forward.Answered, Status: 200, HeldMs: 7, Notice: &forward.Notice{Instance: "i-1", Limited: true, Limit: 8.2},
	})
	assert.NilError(t, err)

	var (
		short shortReply
		reply forward.Reply
	)

	assert.NilError(t, peer.Decode(data, &short))
	assert.Equal(t, short.HeldMs, int64(7))
	assert.NilError(t, peer.Decode(data, &reply))
	assert.Equal(t, reply.Notice.Limit, 8.2)

	data, err = msgpack.Marshal(short)
	assert.NilError(t, err)

	reply = forward.Reply{}
	assert.NilError(t, peer.Decode(data, &reply))
	assert.Equal(t, reply.Status, 200)
	assert.Assert(t, reply.Notice == nil)
}

// Nodes of the version without notices can't read requests.
func TestRequestsAreReadByNodesWithoutNotices(t *testing.T) {
	request := forward.Request{ID: "id-1", Service: "ledger", Method: "GET", URI: "/", Nearby: true}
	plain, err := msgpack.Marshal(request)
	assert.NilError(t, err)

	request.Notice = &forward.Notice{Instance: "i-1", Leaving: true}
	noticed, err := msgpack.Marshal(request)
	assert.NilError(t, err)
	assert.Assert(t, bytes.HasPrefix(noticed, plain)) // what follows is not read

	var read forward.Request

	assert.NilError(t, peer.Decode(noticed, &read))
	assert.Equal(t, read.ID, request.ID)
	assert.Equal(t, read.Nearby, request.Nearby)
	assert.Equal(t, *read.Notice, *request.Notice)
}

// A notice with an impossible limit is let through to the queue.
func TestInvalidNoticeIsRejected(t *testing.T) {
	for _, n := range []forward.Notice{
		{}, {Instance: "i-1", Limit: -1}, {Instance: "i-1", Limit: math.NaN()}, {Instance: "i-1", Limit: math.Inf(1)}, {Instance: "i-1", AgeMs: -1},
	} {
		assert.ErrorIs(t, (&forward.Reply{Result: forward.Answered, Notice: &n}).Check(), forward.ErrMessage)
		assert.ErrorIs(t, (&forward.Request{ID: "a", Service: "b", Method: "GET", URI: "/", Notice: &n}).Check(), forward.ErrMessage)
	}
}

// Nodes of the version without the slowness can't read replies with one, take its place for a notice
// about a backend server, or nodes that know it lose a notice.
func TestRepliesAreReadByNodesWithoutSlowness(t *testing.T) {
	notice := &forward.Notice{Instance: "i-1", Limited: true, Limit: 8.2}

	for _, n := range []*forward.Notice{nil, notice} {
		data, err := msgpack.Marshal(forward.Reply{Result: forward.Answered, Notice: n, Slowness: 0.55})
		assert.NilError(t, err)

		var reply forward.Reply

		assert.NilError(t, peer.Decode(data, &reply))
		assert.Equal(t, reply.Slowness, 0.55)
		assert.Equal(t, reply.Notice != nil, n != nil)
		assert.Assert(t, n == nil || *reply.Notice == *n)

		plain, err := msgpack.Marshal(forward.Reply{Result: forward.Answered})
		assert.NilError(t, err)
		assert.Assert(t, bytes.HasPrefix(data, plain))

		var old forward.Notice

		assert.NilError(t, msgpack.NewDecoder(bytes.NewReader(data[len(plain):])).Decode(&old))
		assert.NilError(t, old.Check())
		assert.Equal(t, old.IsAbout("i-1", 0), n != nil)
	}
}
