package caller_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/pkg/caller"
)

// node is a fake node that sends the given replies in order and repeats the last.
type node struct {
	*httptest.Server

	mu      sync.Mutex
	keys    []string
	replies []func(w http.ResponseWriter)
}

func startNode(t *testing.T, keyPrefix string, replies ...func(http.ResponseWriter)) *node {
	t.Helper()

	n := &node{replies: replies}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderHome, keyPrefix)

		if r.Method == http.MethodOptions {
			refuse("entry.no_route", "not-run", 0)(w)

			return
		}

		n.reply(r.Header.Get(caller.HeaderKey))(w)
	}))
	t.Cleanup(n.Close)

	return n
}

func (n *node) reply(key string) func(http.ResponseWriter) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.keys = append(n.keys, key)

	return n.replies[min(len(n.keys), len(n.replies))-1]
}

func (n *node) receivedKeys() []string {
	n.mu.Lock()
	defer n.mu.Unlock()

	return slices.Clone(n.keys)
}

func (n *node) address() string { return strings.TrimPrefix(n.URL, "http://") }

func answer(w http.ResponseWriter) {
	w.Header().Set(caller.HeaderRan, "ran")
	w.Header().Set(caller.HeaderUpstream, "ledger-1")
	_, _ = w.Write([]byte("receipt"))
}

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func refuse(id, ran string, after int64) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set(caller.HeaderRan, ran)
		w.WriteHeader(http.StatusServiceUnavailable)

		_ = json.NewEncoder(w).Encode(caller.Refusal{ID: id, Ran: caller.Outcome(ran), RetryAfterMs: after})
	}
}

func do(t *testing.T, nodes ...*node) (caller.Answer, error) {
	t.Helper()

	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.address())
	}

	// Without connection reuse the transport never retries a request itself.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := caller.New(caller.Nodes(addresses...), caller.Client(client), caller.Tries(5))

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	return c.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/uploads/1", Body: []byte("gift aid"), Once: true})
}

// The answer to an upload is lost. A retry with a new key would book it twice.
func TestLostAnswerIsRetriedWithSameKey(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", dropConnection, answer)

	a, err := do(t, n)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "receipt")
	assert.Equal(t, len(n.receivedKeys()), 2)
	assert.Equal(t, n.receivedKeys()[0], n.receivedKeys()[1])
	assert.Assert(t, strings.HasPrefix(n.receivedKeys()[0], "pc1.a.life.1."))
}

// A key that did not run is closed at its owner node, which rejects every retry with
// it. Without a new key the request would never run.
func TestRejectedRequestIsRetriedWithNewKey(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", refuse("admission.full", "not-run", 1), answer)

	_, err := do(t, n)
	assert.NilError(t, err)
	assert.Equal(t, len(n.receivedKeys()), 2)
	assert.Assert(t, n.receivedKeys()[0] != n.receivedKeys()[1])
}

// The current node stops answering. The next node can forward the same key to its
// owner node.
func TestFailoverKeepsKey(t *testing.T) {
	a := startNode(t, "pc1.a.life.1", dropConnection)
	b := startNode(t, "pc1.b.life.1", dropConnection, answer)

	_, err := do(t, a, b)
	assert.NilError(t, err)
	assert.Assert(t, len(a.receivedKeys()) > 0 && len(b.receivedKeys()) > 0)

	for _, key := range append(a.receivedKeys(), b.receivedKeys()...) {
		assert.Equal(t, key, a.receivedKeys()[0])
	}
}

// The owner node of the key terminates before the request reaches any node. The key
// was never sent, so a new key of another node is safe. The outcome of the old key
// would stay unknown, since its owner node is no longer running.
func TestKeyThatWasNeverSentIsReplaced(t *testing.T) {
	a := startNode(t, "pc1.a.life.1", answer)
	b := startNode(t, "pc1.b.life.1", answer)
	c := caller.New(caller.Nodes(a.address(), b.address()))
	upload := caller.Request{Method: http.MethodPost, Path: "/uploads/1", Once: true}

	for range 2 { // the key prefixes of both nodes are cached
		_, err := c.Do(t.Context(), upload)
		assert.NilError(t, err)
		c.Leave()
	}

	a.Close()

	for range 2 {
		_, err := c.Do(t.Context(), upload)
		assert.NilError(t, err)
		c.Leave()
	}

	for _, key := range b.receivedKeys() {
		assert.Assert(t, strings.HasPrefix(key, "pc1.b.life.1."), key)
	}
}

func TestErrorReportsKnownOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		reply func(http.ResponseWriter)
		want  error
		tries int
	}{
		"owner node terminated": {refuse("once.home_gone", "unknown", 0), caller.ErrUnknown, 1},
		"ambiguous":             {refuse("once.ambiguous", "unknown", 1000), caller.ErrUnknown, 1},
		"answer not kept":       {refuse("once.answer_not_kept", "ran", 0), caller.ErrRan, 1},
		"bad request":           {refuse("entry.body", "not-run", 0), caller.ErrNotRun, 1},
		"no answer":             {dropConnection, caller.ErrUnknown, 5},
		"queue always full":     {refuse("admission.full", "not-run", 1), caller.ErrNotRun, 5},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, "pc1.a.life.1", c.reply)

			_, err := do(t, n)
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, len(n.receivedKeys()), c.tries)

			r, ok := caller.IsRefusal(err)
			assert.Assert(t, ok && r.ID != "")
		})
	}
}

// A node requests a retry delay of one hour, and the deadline is in ten seconds. Do
// must fail at once instead of waiting for the deadline.
func TestDoFailsAtOnceWhenRetryDelayExceedsDeadline(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", refuse("admission.full", "not-run", time.Hour.Milliseconds()))
	_, err := do(t, n)
	assert.ErrorIs(t, err, caller.ErrNotRun)
	assert.Equal(t, len(n.receivedKeys()), 1)

	_, err = caller.New().Do(t.Context(), caller.Request{})
	assert.Assert(t, errors.Is(err, caller.ErrNodes))
}

// Guards against a caller that ends for its memory, since a node answers without end.
func TestAnswerWithoutEndIsUnknown(t *testing.T) {
	endless := func(w http.ResponseWriter) {
		w.Header().Set(caller.HeaderUpstream, "ledger-1")

		block := make([]byte, 64<<10)
		for sent := 0; sent < 8*caller.MaxAnswerBytes; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	}

	_, err := do(t, startNode(t, "k", endless))

	var r *caller.Refusal

	assert.Assert(t, errors.As(err, &r))
	assert.Equal(t, r.Ran, caller.Unknown)
}
