package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	down     bool
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 100, leases: map[int64]*lease{}, nextID: 1000, changed: make(chan struct{})}
}

// serve listens on an address until the process ends.
func (s *store) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}

	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)

	go func() { _ = http.Serve(l, s.guard(mux)) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()

	return nil
}

// guard answers 503 while the store is down: nothing was done.
func (s *store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()

		if down {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		next.ServeHTTP(w, r)
	})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is a write of the operator.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.revision++
	s.put(key, value, 0)
	s.wake()
}

func (s *store) put(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}

	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}

	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()

	for id, l := range s.leases {
		if s.down || time.Now().Before(l.ends) {
			continue
		}

		s.endLease(id)
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++

	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}

	s.wake()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()

	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"store-revision": at})

		return
	}

	answer(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "store-revision": at,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500

	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")

	s.mu.Lock()
	found := []item{}

	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}

	at := s.revision
	s.mu.Unlock()

	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })

	more := len(found) > page
	answer(w, http.StatusOK, map[string]any{"items": found[:min(page, len(found))], "has-more": more, "store-revision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)

	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()

	for {
		s.mu.Lock()
		events := []item{}

		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}

		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()

		if down {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		if len(events) > 0 || ctx.Err() != nil {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": at})

			return
		}

		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}

	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	current := []item{}
	holds := true

	for _, x := range in.Expected {
		i := s.items[x.Key]
		holds = holds && i.Revision == x.Revision
		current = append(current, i)
	}

	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})

		return
	}

	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)

			return
		}

		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)

			return
		}
	}

	s.revision++

	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}

	for _, key := range in.Deletes {
		s.remove(key)
	}

	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Seconds float64 `json:"ttl-s"`
	}

	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.nextID++
	ttl := time.Duration(max(in.Seconds, 1) * float64(time.Second))
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl-s": ttl.Seconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)

	s.mu.Lock()
	defer s.mu.Unlock()

	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)

		return
	}

	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl-s": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)

		return
	}

	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
