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

// runs counts how often the backend servers ran a key.
func (f *fleet) runs(key string) int {
	n := 0
	for _, h := range f.hosts {
		n += h.backend.Counts().Keys[key]
	}

	return n
}

func upload(key string) map[string]string {
	h := map[string]string{backend.HeaderEcho: "mine"}
	if key != "" {
		h[frontend.HeaderKey] = key
	}

	return h
}

// A caller sends an upload without a key, gets an answer, loses it, and sends it
// again with the key that came with the answer, through every other node. A
// second run would table the donation twice.
func TestARepeatThroughAnyNodeGetsTheFirstAnswer(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(0, http.MethodPost, "/uploads/1", "gift aid", upload(""))
	assert.Equal(t, first.status, http.StatusOK)

	key := first.header.Get(frontend.HeaderKey)
	assert.Assert(t, key != "")

	for i := range f.hosts {
		r := f.send(i, http.MethodPost, "/uploads/1", "gift aid", upload(key))
		assert.Equal(t, r.status, http.StatusOK)
		assert.DeepEqual(t, r.answer, first.answer)
		assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")
		assert.Equal(t, r.header.Get(frontend.HeaderKey), key)
	}

	assert.Equal(t, f.runs(key), 1)
}

// An impatient parent presses the button twenty times while the first enrolment
// still runs, and each press goes to another node. Every press must show the one
// seat, not one more.
func TestRepeatsAtTheSameTimeShareOneRun(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	home := f.send(3, http.MethodGet, "/folders/1", "", nil).header.Get(frontend.HeaderHome)
	key := home + ".enrolment-1"

	var wg sync.WaitGroup

	for n := range 20 {
		wg.Go(func() {
			h := upload(key)
			h[backend.HeaderWorkMs] = "100"

			r := f.send(n%len(f.hosts), http.MethodPost, "/uploads/1", "seat", h)
			assert.Check(t, r.status == http.StatusOK && r.answer.Echo == "mine")
		})
	}

	wg.Wait()
	assert.Equal(t, f.runs(key), 1)
}

// The process that started a key is replaced, and the caller, who got no answer,
// asks again. The new process has no record; if it took the key for a new one,
// the upload would be there twice.
func TestAKeyOfAReplacedHomeIsUnknown(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(2, http.MethodPost, "/uploads/1", "gift aid", upload(""))
	key := first.header.Get(frontend.HeaderKey)

	h := f.hosts[2]
	h.stop()
	assert.NilError(t, <-h.done)

	r := f.send(5, http.MethodPost, "/uploads/1", "gift aid", upload(key))
	assert.Equal(t, r.away.ID, "once.home_unreachable")
	assert.Equal(t, string(r.away.Ran), "unknown")
	assert.Equal(t, r.away.NotForwarded, true)

	f.start(h)
	f.wait("the new process to be the home of new keys", func() bool {
		r := f.send(5, http.MethodPost, "/uploads/1", "gift aid", upload(key))

		return r.away.ID == "once.home_gone"
	})

	assert.Equal(t, f.runs(key), 1)
}

// A refusal outside the home of a key can't know whether an earlier attempt ran.
// A caller that is told not-run takes a new key and table twice.
func TestOnlyTheHomeSaysNotRunOfAKey(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	r := f.send(0, http.MethodPost, "/uploads/1", "gift aid", upload("pc1.nottm-a-browse-1.x.1.y"))
	assert.Equal(t, r.away.ID, "entry.no_settings")
	assert.Equal(t, string(r.away.Ran), "unknown")

	f.accept()

	r = f.send(0, http.MethodPost, "/uploads/1", "gift aid", upload("pc1.nottm-a-browse-1.x.1.y"))
	assert.Equal(t, r.away.ID, "once.home_gone")
	assert.Equal(t, string(r.away.Ran), "unknown")
}

// The same key with another body is a mistake of the caller. Answering it from
// the first record would lose the second upload without anybody noticing.
func TestAKeyBelongsToOneRequest(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	first := f.send(0, http.MethodPost, "/uploads/1", "one", upload(""))
	key := first.header.Get(frontend.HeaderKey)

	r := f.send(1, http.MethodPost, "/uploads/1", "two", upload(key))
	assert.Equal(t, r.away.ID, "once.mismatch")
	assert.Equal(t, r.status, http.StatusUnprocessableEntity)
	assert.Equal(t, f.runs(key), 1)
}

// sharded waits until all shards of the opaque keys have owners.
func (f *fleet) sharded() shard.List {
	f.t.Helper()

	var l shard.List

	f.wait("owners of all shards", func() bool {
		data, ok := f.platform.Snapshot()[shard.Key]
		if !ok || json.Unmarshal(data, &l) != nil {
			return false
		}

		return !slices.ContainsFunc(l.Shards, func(s shard.Shard) bool { return s.Node == "" })
	})

	return l
}

// hostOf returns the index of the host that owns a key's shard, and a key that
// it owns.
func (f *fleet) hostOf(l shard.List, text string) int {
	s, _, _ := l.Of(text)

	return slices.IndexFunc(f.hosts, func(h *host) bool { return h.ID == s.Node })
}

// known waits until every node knows the owners.
func (f *fleet) known(text string) {
	f.t.Helper()

	for i := range f.hosts {
		f.wait("the owners to be known", func() bool {
			return f.send(i, http.MethodPost, "/uploads/1", "gift aid", upload(text)).status == http.StatusOK
		})
	}
}

// A caller that knows nothing of homes makes its keys itself and repeats them
// through every node, also while the platform is down.
func TestAnOpaqueKeyRunsOnceThroughAnyNode(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	f.sharded()
	f.known("donation-1")
	f.known("donation-2")
	assert.Equal(t, f.runs("donation-1"), 1)

	f.platform.SetFaults(platform.Faults{Down: true})

	for i := range f.hosts {
		r := f.send(i, http.MethodPost, "/uploads/1", "gift aid", upload("donation-2"))
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")
	}

	assert.Equal(t, f.runs("donation-2"), 1)
}

// The home of an opaque key is stopped as planned after it ran the key. A caller
// that repeats the key must get the first answer from whoever has it now; to be
// told unknown would make a planned stop cost callers their answers.
func TestAnOpaqueKeySurvivesAPlannedStop(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	l := f.sharded()
	f.known("donation-1")

	owner := f.hostOf(l, "donation-1")
	other := (owner + 1) % len(f.hosts)

	h := f.hosts[owner]
	h.stop()
	assert.NilError(t, <-h.done)

	r := f.send(other, http.MethodPost, "/uploads/1", "gift aid", upload("donation-1"))
	f.assertServed(r)
	assert.Equal(t, r.header.Get(frontend.HeaderRepeat), "true")

	// A new key of the same shard is started at once.
	r = f.send(other, http.MethodPost, "/uploads/1", "gift aid", upload(sibling(l, "donation-1")))
	f.assertServed(r)
	assert.Equal(t, f.runs("donation-1"), 1)
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

// The home of an opaque key ends after it ran the key, and nobody has its
// records: here because the platform is down while it leaves. The process that
// comes after it has no record of the key; if it ran what it has not seen, a
// repeat would table the donation twice.
func TestAnOpaqueKeyOfALostHomeIsUnknown(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()
	l := f.sharded()
	f.known("donation-1")

	owner := f.hostOf(l, "donation-1")
	other := (owner + 1) % len(f.hosts)
	h := f.hosts[owner]

	f.platform.SetFaults(platform.Faults{Down: true})
	h.stop()
	assert.NilError(t, <-h.done)
	f.platform.SetFaults(platform.Faults{})
	f.start(h)

	f.wait("a new owner", func() bool {
		r := f.send(other, http.MethodPost, "/uploads/1", "gift aid", upload("donation-1"))
		assert.Equal(t, string(r.away.Ran), "unknown", "%v", r)

		return r.away.ID == "once.taken_over"
	})

	assert.Equal(t, f.runs("donation-1"), 1)
}

// The client library against real nodes: an upload through nodes of which the
// first leaves in between is booked once for each request.
func TestTheClientLibraryUploadsOnce(t *testing.T) {
	t.Parallel()

	f := startFleet(t)
	f.accept()

	c := client.New(client.Nodes(f.hosts[0].Caller, f.hosts[1].Caller, f.hosts[2].Caller))

	for i := range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()

		a, err := c.Do(ctx, client.Request{
			Method: http.MethodPost, Path: fmt.Sprintf("/uploads/%d", i), Body: []byte("gift aid"), Once: true,
		})
		assert.NilError(t, err)
		assert.Equal(t, f.runs(a.Key), 1)

		if i == 0 {
			f.hosts[0].stop()
			assert.NilError(t, <-f.hosts[0].done)
		}
	}
}
