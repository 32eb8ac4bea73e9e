package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/internal/standin/platform"
	client "github.com/pollencart/pollencart/pkg/caller"
)

// runCount returns how often the backend servers ran a key.
func (f *fleet) runCount(key string) int {
	n := 0
	for _, h := range f.hosts {
		n += h.backend.Counts().Keys[key]
	}

	return n
}

func uploadHeader(key string) map[string]string {
	h := map[string]string{backend.HeaderEcho: "mine"}
	if key != "" {
		h[frontend.HeaderKey] = key
	}

	return h
}

// A caller sends an upload without a key and repeats it through every node with the key from
// the first answer. A second run would record the donation twice.
func TestRepeatThroughAnyNodeGetsFirstAnswer(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(0, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(""))
	assert.Equal(t, first.status, http.StatusOK)

	key := first.header.Get(frontend.HeaderKey)
	assert.Assert(t, key != "")

	for i := range f.hosts {
		r := f.send(i, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(key))
		assert.Equal(t, r.status, http.StatusOK)
		assert.DeepEqual(t, r.answer, first.answer)
		assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")
		assert.Equal(t, r.header.Get(frontend.HeaderKey), key)
	}

	assert.Equal(t, f.runCount(key), 1)
}

// A caller sends the same request twenty times through different nodes while the first one
// still runs. All must get the answer of a single run.
func TestConcurrentRepeatsShareOneRun(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	home := f.send(3, http.MethodGet, "/folders/1", "", nil).header.Get(frontend.HeaderHome)
	key := home + ".enrolment-1"

	var wg sync.WaitGroup

	for n := range 20 {
		wg.Go(func() {
			h := uploadHeader(key)
			h[backend.HeaderWorkMs] = "100"

			r := f.send(n%len(f.hosts), http.MethodPost, "/uploads/1", "seat", h)
			assert.Check(t, r.status == http.StatusOK && r.answer.Echo == "mine")
		})
	}

	wg.Wait()
	assert.Equal(t, f.runCount(key), 1)
}

// The owner node of a key restarts, and the caller repeats its request. The new process has no
// record of the key; if it treated the key as new, the upload would run twice.
func TestKeyOfReplacedOwnerNodeIsUnknown(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(2, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(""))
	key := first.header.Get(frontend.HeaderKey)

	h := f.hosts[2]
	h.stop()
	assert.NilError(t, <-h.done)

	r := f.send(5, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(key))
	assert.Equal(t, r.refusal.ID, "once.home_unreachable")
	assert.Equal(t, string(r.refusal.Ran), "unknown")
	assert.Equal(t, r.refusal.NotForwarded, true)

	f.start(h)
	f.wait("the new process to answer for the old key", func() bool {
		r := f.send(5, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(key))

		return r.refusal.ID == "once.home_gone"
	})

	assert.Equal(t, f.runCount(key), 1)
}

// A node that rejects a keyed request and is not the owner node of the key can't know whether
// an earlier attempt ran. After a wrong "not-run", a caller sends the upload with a new key and
// it runs twice.
func TestOnlyOwnerNodeReportsKeyAsNotRun(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	r := f.send(0, http.MethodPost, "/uploads/1", "gift aid", uploadHeader("pc1.nottm-a-browse-1.x.1.y"))
	assert.Equal(t, r.refusal.ID, "entry.no_settings")
	assert.Equal(t, string(r.refusal.Ran), "unknown")

	f.accept()

	r = f.send(0, http.MethodPost, "/uploads/1", "gift aid", uploadHeader("pc1.nottm-a-browse-1.x.1.y"))
	assert.Equal(t, r.refusal.ID, "once.home_gone")
	assert.Equal(t, string(r.refusal.Ran), "unknown")
}

// The same key with another body is an error of the caller. An answer from the first record
// would lose the second upload silently.
func TestKeyWithDifferentBodyIsRejected(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(0, http.MethodPost, "/uploads/1", "one", uploadHeader(""))
	key := first.header.Get(frontend.HeaderKey)

	r := f.send(1, http.MethodPost, "/uploads/1", "two", uploadHeader(key))
	assert.Equal(t, r.refusal.ID, "once.mismatch")
	assert.Equal(t, r.status, http.StatusUnprocessableEntity)
	assert.Equal(t, f.runCount(key), 1)
}

// waitForShardOwners waits until all shards of the opaque keys have owner nodes.
func (f *fleet) waitForShardOwners() shard.List {
	f.t.Helper()

	var l shard.List

	f.wait("owner nodes of all shards", func() bool {
		data, ok := f.platform.Snapshot()[shard.Key]
		if !ok || json.Unmarshal(data, &l) != nil {
			return false
		}

		return !slices.ContainsFunc(l.Shards, func(s shard.Shard) bool { return s.Node == "" })
	})

	return l
}

// ownerIndex returns the index of the host whose node owns a key's shard.
func (f *fleet) ownerIndex(l shard.List, text string) int {
	s, _, _ := l.Of(text)

	return slices.IndexFunc(f.hosts, func(h *host) bool { return h.ID == s.Node })
}

// waitForKnownOwners waits until an upload with the key succeeds through every node, which
// requires that the node knows the owner nodes of the shards.
func (f *fleet) waitForKnownOwners(text string) {
	f.t.Helper()

	for i := range f.hosts {
		f.wait("the owner nodes to be known", func() bool {
			return f.send(i, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(text)).status == http.StatusOK
		})
	}
}

// A caller generates its own keys, which name no owner node, and repeats them through every
// node, also while the platform is down.
func TestOpaqueKeyRunsOnceThroughAnyNode(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	f.waitForShardOwners()
	f.waitForKnownOwners("donation-1")
	f.waitForKnownOwners("donation-2")
	assert.Equal(t, f.runCount("donation-1"), 1)

	f.platform.SetFaults(platform.Faults{Down: true})

	for i := range f.hosts {
		r := f.send(i, http.MethodPost, "/uploads/1", "gift aid", uploadHeader("donation-2"))
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")
	}

	assert.Equal(t, f.runCount("donation-2"), 1)
}

// The owner node of an opaque key drains after it ran the key. A repeat must get the first
// answer from the new owner node; with "unknown", every planned restart would lose answers.
func TestOpaqueKeySurvivesDrain(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	l := f.waitForShardOwners()
	f.waitForKnownOwners("donation-1")

	owner := f.ownerIndex(l, "donation-1")
	other := (owner + 1) % len(f.hosts)

	h := f.hosts[owner]
	h.stop()
	assert.NilError(t, <-h.done)

	r := f.send(other, http.MethodPost, "/uploads/1", "gift aid", uploadHeader("donation-1"))
	f.assertServed(r)
	assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")

	// A new key of the same shard runs without delay.
	r = f.send(other, http.MethodPost, "/uploads/1", "gift aid", uploadHeader(sibling(l, "donation-1")))
	f.assertServed(r)
	assert.Equal(t, f.runCount("donation-1"), 1)
}

// sibling returns another key of the same shard.
func sibling(l shard.List, text string) string {
	_, want, _ := l.Of(text)

	for i := 0; ; i++ {
		other := fmt.Sprintf("%s-%d", text, i)
		if _, n, _ := l.Of(other); n == want {
			return other
		}
	}
}

// The owner node of an opaque key stops without handing over its records, since the platform
// is down while it drains. The next process has no record of the key; if it ran unknown keys, a
// repeat would record the donation twice.
func TestOpaqueKeyOfLostOwnerNodeIsUnknown(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	l := f.waitForShardOwners()
	f.waitForKnownOwners("donation-1")

	owner := f.ownerIndex(l, "donation-1")
	other := (owner + 1) % len(f.hosts)
	h := f.hosts[owner]

	f.platform.SetFaults(platform.Faults{Down: true})
	h.stop()
	assert.NilError(t, <-h.done)
	f.platform.SetFaults(platform.Faults{})
	f.start(h)

	f.wait("a new owner node", func() bool {
		r := f.send(other, http.MethodPost, "/uploads/1", "gift aid", uploadHeader("donation-1"))
		assert.Equal(t, string(r.refusal.Ran), "unknown", "%v", r)

		return r.refusal.ID == "once.taken_over"
	})

	assert.Equal(t, f.runCount("donation-1"), 1)
}

// The client library sends uploads to real nodes, the first of which stops after the first
// upload. Each upload must run exactly once.
func TestClientLibraryUploadsOnce(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	c := client.New(client.Nodes(f.hosts[0].Caller, f.hosts[1].Caller, f.hosts[2].Caller))

	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()

		a, err := c.Do(ctx, client.Request{
			Method: http.MethodPost, Path: fmt.Sprintf("/uploads/%d", i), Body: []byte("gift aid"), Once: true,
		})
		assert.NilError(t, err)
		assert.Equal(t, f.runCount(a.Key), 1)

		if i == 0 {
			f.hosts[0].stop()
			assert.NilError(t, <-f.hosts[0].done)
		}
	}
}
