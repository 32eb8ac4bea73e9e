package memory_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/notice/memory"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func reply(n *forward.Notice) forward.Reply {
	return forward.Reply{Result: forward.Answered, Notice: n}
}

func limit(l float64, ageMs int64) *forward.Notice {
	return &forward.Notice{Instance: "i-1", Limited: true, Limit: l, AgeMs: ageMs}
}

// A reply that was on its way before the limit was named ends the limit that this node remembers.
func TestOlderReplyDoesNotEndLimit(t *testing.T) {
	m := memory.New()
	m.Replied("n1", at(0), at(100), reply(limit(8, 10)))
	assert.Equal(t, m.About("n1", at(600)).AgeMs, int64(510))

	m.Replied("n1", at(50), at(110), reply(nil))
	assert.Equal(t, m.About("n1", at(120)).Limit, 8.0)
	m.Replied("n1", at(60), at(130), reply(limit(12, 400))) // what the node knew earlier
	assert.Equal(t, m.About("n1", at(140)).Limit, 8.0)
	m.Replied("n1", at(150), at(160), forward.Reply{Result: forward.Refused}) // the process has just started
	assert.Equal(t, m.About("n1", at(170)).Limit, 8.0)
	m.Replied("n1", at(180), at(190), reply(nil))
	assert.Assert(t, m.About("n1", at(200)) == nil)
}

// A node forgets that a backend server said that it leaves once calls are answered there again.
func TestLeavingInstanceIsRememberedBesideTheNextOne(t *testing.T) {
	m := memory.New()
	m.Replied("n1", at(0), at(10), reply(&forward.Notice{Instance: "i-1", Leaving: true, Limited: true, Limit: 3}))
	m.Replied("n1", at(20), at(30), reply(nil))

	n := m.About("n1", at(40))
	assert.Assert(t, n.Leaving && n.Instance == "i-1" && !n.Limited)

	m.Replied("n1", at(50), at(60), reply(&forward.Notice{Instance: "i-2", Limited: true, Limit: 8}))
	assert.Equal(t, m.About("n1", at(70)).Instance, "i-2")
}

// What is known of a node is sent with its calls for ever.
func TestNoticeWithoutRepliesExpires(t *testing.T) {
	m := memory.New()
	m.Replied("n1", at(0), at(10), reply(limit(8, 0)))
	assert.Assert(t, m.About("n1", at(100_000)) != nil)
	assert.Assert(t, m.About("n1", at(200_000)) == nil)
	assert.Assert(t, m.About("n2", at(20)) == nil)
}

// A reply that is older, or was made before the departure, takes the departure back.
func TestLeavingIsKeptWhateverOrderRepliesComeIn(t *testing.T) {
	leaving := &forward.Notice{Instance: "i-1", Leaving: true, AgeMs: 400}

	m := memory.New()
	m.Replied("n1", at(0), at(100), reply(limit(8, 0)))
	m.Replied("n1", at(0), at(110), reply(leaving)) // its age is that of the limit before
	assert.Assert(t, m.About("n1", at(120)).Leaving)

	m = memory.New()
	m.Replied("n1", at(0), at(100), reply(leaving))
	m.Replied("n1", at(0), at(110), reply(limit(8, 0))) // made before it, read after it
	assert.Assert(t, m.About("n1", at(120)).Leaving)
}
