package page_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/timeline/page"
)

func at(ms int64, node string, e event.Event, entry timeline.Entry) timeline.Entry {
	entry.Stamp, entry.Node, entry.Number, entry.Name = timeline.Stamp{WallMs: ms}, node, e.Number, e.Name

	return entry
}

func TestWriteMatchesGoldenPage(t *testing.T) {
	var b bytes.Buffer

	assert.NilError(t, page.Write(&b, "an outage", []timeline.Entry{
		at(1000, "derby-1", event.VersionInForce, timeline.Entry{Version: 7}),
		at(1005, "leic-1", event.VersionInForce, timeline.Entry{Version: 7}),
		at(2000, "derby-1", event.MemberSuspect, timeline.Entry{Peer: "leic-2", Detail: "by derby-1: no answer in time"}),
		at(4000, "derby-1", event.MemberDead, timeline.Entry{Peer: "leic-2", Detail: "by derby-1, accused by derby-1, leic-1"}),
		at(4100, "leic-1", event.MemberDead, timeline.Entry{Peer: "leic-2"}),
		at(5000, "leic-1", event.CallTurnedAway, timeline.Entry{Call: "01J", Detail: "<script>alert(1)</script>"}),
		at(6000, "leic-1", event.VersionInForce, timeline.Entry{Version: 8}),
		at(7000, "derby-1", event.MemberJoined, timeline.Entry{Peer: "leic-2"}),
		at(8000, "derby-1", event.NodeDraining, timeline.Entry{}),
		at(9000, "derby-1", event.NodeStopped, timeline.Entry{}),
	}))

	text := b.String()
	assert.Assert(t, !strings.Contains(text, "<script>alert"), "text from callers must be escaped")

	for _, outside := range []string{"http://", "https://", "src=", "@import"} {
		assert.Assert(t, !strings.Contains(text, outside), "the page must not use external resources: %s", outside)
	}

	golden.Assert(t, text, "page.golden.html")
}

func TestWriteWithoutEntries(t *testing.T) {
	assert.NilError(t, page.Write(&bytes.Buffer{}, "nothing", nil))
}

// The peer of a version is its source: the platform or an address. Lanes for these
// would hide the nodes and make the node count wrong.
func TestOnlyNodesHaveLanes(t *testing.T) {
	var b bytes.Buffer

	assert.NilError(t, page.Write(&b, "a version", []timeline.Entry{
		at(1000, "derby-1", event.VersionInForce, timeline.Entry{Version: 7, Peer: "platform"}),
		at(1005, "leic-1", event.VersionInForce, timeline.Entry{Version: 7, Peer: "127.0.0.1:7000"}),
		at(2000, "derby-1", event.MemberDead, timeline.Entry{Peer: "leic-2"}),
	}))

	assert.Assert(t, strings.Contains(b.String(), "3 nodes"))
}
