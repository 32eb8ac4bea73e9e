package once_test

import (
	"context"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/platform"
)

// store simulates the key-value store of the platform with a single compare-and-swap value.
type store struct {
	mu    sync.Mutex
	down  bool
	entry platform.Entry
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
}

// storeOf is the store as seen by one process, with its delays and outages.
type storeOf struct{ *proc }

func (s storeOf) reach() error {
	<-s.running()
	time.Sleep(s.w.delay())

	if s.ended() {
		return platform.ErrUnavailable
	}

	s.w.store.mu.Lock()
	defer s.w.store.mu.Unlock()

	if s.w.store.down {
		return platform.ErrUnavailable
	}

	return nil
}

func (s storeOf) Get(context.Context, string) (platform.Entry, error) {
	if err := s.reach(); err != nil {
		return platform.Entry{}, err
	}

	s.w.store.mu.Lock()
	entry := s.w.store.entry
	s.w.store.mu.Unlock()

	time.Sleep(s.w.delay())
	<-s.running()

	if entry.Revision == 0 {
		return entry, platform.ErrNotFound
	}

	return entry, nil
}

func (s storeOf) Swap(_ context.Context, _ string, revision int64, value []byte, _ ...platform.PutOption) (int64, error) {
	if err := s.reach(); err != nil {
		return 0, err
	}

	s.w.store.mu.Lock()
	defer s.w.store.mu.Unlock()

	if s.w.store.entry.Revision != revision {
		return 0, platform.ErrConflict
	}

	s.w.store.entry = platform.Entry{Value: value, Revision: revision + 1}

	if s.w.chance(20) {
		return 0, platform.ErrUnknown
	}

	return revision + 1, nil
}
