package etcd_test

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/platform"
	"github.com/pollencart/pollencart/internal/platform/etcd"
	standin "github.com/pollencart/pollencart/internal/standin/platform"
)

func start(t *testing.T) (*standin.Platform, *etcd.Store) {
	t.Helper()

	p := standin.New()
	s := httptest.NewServer(p.Handler())
	t.Cleanup(s.Close)

	return p, etcd.New(etcd.Endpoints(s.URL))
}

func TestSwapWritesOnlyIfRevisionIsUnchanged(t *testing.T) {
	_, s := start(t)

	first, err := s.Swap(t.Context(), "/k", 0, []byte("one"))
	assert.NilError(t, err)

	_, err = s.Swap(t.Context(), "/k", 0, []byte("two"))
	assert.ErrorIs(t, err, platform.ErrConflict)

	_, err = s.Swap(t.Context(), "/k", first, []byte("two"))
	assert.NilError(t, err)

	e, err := s.Get(t.Context(), "/k")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "two")
}

func TestOversizedValueIsRejectedBeforeItIsSent(t *testing.T) {
	p, s := start(t)

	_, err := s.Swap(t.Context(), "/big", 0, make([]byte, platform.MaxValue+1))
	assert.ErrorIs(t, err, platform.ErrTooLarge)
	assert.ErrorContains(t, err, "/big has 1048577 bytes, limit 1048576")
	assert.Equal(t, p.Counts().Writes, int64(0))
}

// The store applies a write and its answer is lost. If the client reported a
// failure, the operator would accept the version twice.
func TestLostAnswerIsUnknownOutcomeAndOutageIsUnavailable(t *testing.T) {
	p, s := start(t)

	p.SetFaults(standin.Faults{LoseAnswers: 1})

	_, err := s.Swap(t.Context(), "/k", 0, []byte("one"))
	assert.ErrorIs(t, err, platform.ErrUnknown)

	e, err := s.Get(t.Context(), "/k")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "one")

	p.SetFaults(standin.Faults{Down: true})

	_, err = s.Get(t.Context(), "/k")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestWatchSendsCurrentValueAndEachChange(t *testing.T) {
	_, s := start(t)

	revision, err := s.Swap(t.Context(), "/k", 0, []byte("one"))
	assert.NilError(t, err)

	changes, err := s.Watch(t.Context(), "/k", 0)
	assert.NilError(t, err)
	assert.Equal(t, string((<-changes).Value), "one")

	_, err = s.Swap(t.Context(), "/k", revision, []byte("two"))
	assert.NilError(t, err)
	assert.Equal(t, string((<-changes).Value), "two")
}
