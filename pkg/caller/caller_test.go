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

// node is a small fake: it answers with what the test gives it, in order.
type node struct {
	*httptest.Server

	mu      sync.Mutex
	keys    []string
	replies []func(w http.ResponseWriter)
}

func startNode(t *testing.T, home string, replies ...func(http.ResponseWriter)) *node {
	t.Helper()

	n := &node{replies: replies}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(caller.HeaderHome, home)

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

func (n *node) sent() []string {
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

// vanish ends the connection without an answer.
func vanish(http.ResponseWriter) { panic(http.ErrAbortHandler) }

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

	// One connection for each request: the transport then repeats nothing itself.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c := caller.New(caller.Nodes(addresses...), caller.Client(client), caller.Tries(5))

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	return c.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/uploads/1", Body: []byte("gift aid"), Once: true})
}

// The answer to an upload is lost. Sent again with a new key it would be booked
// twice.
func TestALostAnswerIsAskedForWithTheSameKey(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", vanish, answer)

	a, err := do(t, n)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), "receipt")
	assert.Equal(t, len(n.sent()), 2)
	assert.Equal(t, n.sent()[0], n.sent()[1])
	assert.Assert(t, strings.HasPrefix(n.sent()[0], "pc1.a.life.1."))
}

// A key that did not run is closed at its home; sent again it is refused for
// ever, and the parent would never get the seat.
func TestANewKeyIsTakenOnceTheOldOneDidNotRun(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", refuse("admission.full", "not-run", 1), answer)

	_, err := do(t, n)
	assert.NilError(t, err)
	assert.Equal(t, len(n.sent()), 2)
	assert.Assert(t, n.sent()[0] != n.sent()[1])
}

// The node in use does not answer any more; the next one knows the key's home.
func TestAnotherNodeIsTakenWithTheSameKey(t *testing.T) {
	a := startNode(t, "pc1.a.life.1", vanish)
	b := startNode(t, "pc1.b.life.1", vanish, answer)

	_, err := do(t, a, b)
	assert.NilError(t, err)
	assert.Assert(t, len(a.sent()) > 0 && len(b.sent()) > 0)

	for _, key := range append(a.sent(), b.sent()...) {
		assert.Equal(t, key, a.sent()[0])
	}
}

// The node whose name is in the key was stopped before the request got to it. The
// key never left, so that a new one of another node is safe; the old one would
// be unknown for ever, since its home is gone.
func TestAKeyThatNeverLeftIsGivenUp(t *testing.T) {
	a := startNode(t, "pc1.a.life.1", answer)
	b := startNode(t, "pc1.b.life.1", answer)
	c := caller.New(caller.Nodes(a.address(), b.address()))
	upload := caller.Request{Method: http.MethodPost, Path: "/uploads/1", Once: true}

	for range 2 { // both homes are known
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

	for _, key := range b.sent() {
		assert.Assert(t, strings.HasPrefix(key, "pc1.b.life.1."), key)
	}
}

func TestTheErrorSaysWhatIsKnown(t *testing.T) {
	for name, c := range map[string]struct {
		reply func(http.ResponseWriter)
		want  error
		tries int
	}{
		"home gone":       {refuse("once.home_gone", "unknown", 0), caller.ErrUnknown, 1},
		"ambiguous":       {refuse("once.ambiguous", "unknown", 1000), caller.ErrUnknown, 1},
		"answer not kept": {refuse("once.answer_not_kept", "ran", 0), caller.ErrRan, 1},
		"bad request":     {refuse("entry.body", "not-run", 0), caller.ErrNotRun, 1},
		"never an answer": {vanish, caller.ErrUnknown, 5},
		"always full":     {refuse("admission.full", "not-run", 1), caller.ErrNotRun, 5},
	} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, "pc1.a.life.1", c.reply)

			_, err := do(t, n)
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, len(n.sent()), c.tries)

			r, ok := caller.IsRefusal(err)
			assert.Assert(t, ok && r.ID != "")
		})
	}
}

// A node says to come back after an hour. The caller has ten seconds; holding it
// until then would leave a person in silence.
func TestAnAnswerComesAtOnceWhenComingBackIsTooLate(t *testing.T) {
	n := startNode(t, "pc1.a.life.1", refuse("admission.full", "not-run", time.Hour.Milliseconds()))
	_, err := do(t, n)
	assert.ErrorIs(t, err, caller.ErrNotRun)
	assert.Equal(t, len(n.sent()), 1)

	_, err = caller.New().Do(t.Context(), caller.Request{})
	assert.Assert(t, errors.Is(err, caller.ErrNodes))
}
