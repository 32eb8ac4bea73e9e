package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the usual time of an answer of the store.
const answerTime = 4 * time.Millisecond

// entry is one key of the store.
type entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is the time to live of some keys.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]entry
	history  []entry
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
	downAt   time.Time     // zero while the store is up
	era      int           // rises with each return from an older copy
	silent   bool          // while it is down, it does not answer at all
	slow     time.Duration // additional time of an answer
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	s := &store{
		address: l.Addr().String(), items: map[string]entry{}, revision: 100, leases: map[int64]*lease{},
		changed: make(chan struct{}), era: 1,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.get)
	mux.HandleFunc("GET /-/kv-range", s.list)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.transact)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)

	go func() { _ = http.Serve(l, s.gate(mux)) }()
	go s.expire()

	return s, nil
}

// gate delays each answer, and answers 503 while the store is down.
func (s *store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		wait := answerTime + s.slow
		s.mu.Unlock()
		time.Sleep(wait)
		w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))

		if s.isDown() && s.silent {
			<-r.Context().Done() // no answer comes on this connection

			return
		}

		if s.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		next.ServeHTTP(w, r)
	})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return !s.downAt.IsZero()
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.era
}

// snapshot is a copy of the store.
type snapshot struct {
	items    map[string]entry
	history  []entry
	revision int64
	leases   map[int64]*lease
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()

	out := snapshot{maps.Clone(s.items), slices.Clone(s.history), s.revision, map[int64]*lease{}}
	for id, l := range s.leases {
		out.leases[id] = &lease{l.ttl, time.Now().Add(l.ttl)}
	}

	return out
}

// restore replaces what the store holds by a copy. What was written since is lost.
func (s *store) restore(c snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.items, s.history, s.revision, s.leases = c.items, c.history, c.revision, c.leases
	s.era++

	for _, l := range s.leases {
		l.ends = time.Now().Add(l.ttl)
	}

	s.wake()
}

// setDown takes the store down or up. Leases pause while it is down.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	switch {
	case down && s.downAt.IsZero():
		s.downAt = time.Now()
	case !down && !s.downAt.IsZero():
		for _, l := range s.leases {
			l.ends = l.ends.Add(time.Since(s.downAt))
		}

		s.downAt = time.Time{}
	}

	s.wake()
}

func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()

		if s.downAt.IsZero() {
			for id, l := range s.leases {
				if time.Now().After(l.ends) {
					s.endLease(id)
				}
			}
		}

		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)

	for key, e := range s.items {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++

	e := entry{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		e.Created = before.Created
	}

	s.items[key] = e
	s.history = append(s.history, e)
	s.wake()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}

	s.revision++
	delete(s.items, key)
	s.history = append(s.history, entry{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// write is a write of the operator.
func (s *store) write(key string, value any) {
	text, _ := json.Marshal(value)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.put(key, text, 0)
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()

	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store-revision": at})

		return
	}

	reply(w, http.StatusOK, struct {
		entry
		At int64 `json:"store-revision"`
	}{e, at})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500

	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	out := []entry{}

	s.mu.Lock()
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, e)
		}
	}

	at := s.revision
	s.mu.Unlock()

	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > page
	out = out[:min(page, len(out))]
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "store-revision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	timeout := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)

	for {
		events := []entry{}

		s.mu.Lock()
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("path-prefix")) {
				events = append(events, e)
			}
		}

		at, changed, down := s.revision, s.changed, !s.downAt.IsZero()
		s.mu.Unlock()

		if after > at {
			reply(w, http.StatusGone, map[string]any{"store-revision": at})

			return
		}

		if down && s.silent {
			<-r.Context().Done()

			return
		}

		if down {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}

		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": at})

			return
		}

		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": at})

			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []entry  `json:"expected"`
		Puts     []entry  `json:"puts"`
		Deletes  []string `json:"deletes"`
	}

	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			items := []entry{}
			for _, x := range in.Expected {
				items = append(items, s.items[x.Key])
			}

			reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})

			return
		}
	}

	for _, e := range in.Puts {
		if e.Lease != 0 && s.leases[e.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)

			return
		}

		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)

			return
		}
	}

	for _, e := range in.Puts {
		s.put(e.Key, e.Value, e.Lease)
	}

	for _, key := range in.Deletes {
		s.remove(key)
	}

	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Seconds float64 `json:"ttl-s"`
	}

	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	ttl := time.Duration(max(in.Seconds, 1) * float64(time.Second))

	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()

	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-s": ttl.Seconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)

	s.mu.Lock()
	l := s.leases[id]

	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()

	if l == nil {
		w.WriteHeader(http.StatusNotFound)

		return
	}

	reply(w, http.StatusOK, map[string]any{"ttl-s": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)

	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()

	reply(w, http.StatusOK, struct{}{})
}
