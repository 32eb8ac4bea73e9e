// Package platform is a small fake of the platform's key-value service: the
// subset of the etcd v3 JSON gateway that pollencart uses, in memory, with
// faults on demand and every call counted.
//
//	p := platform.New()
//	server := httptest.NewServer(p.Handler())
//	p.SetFaults(platform.Faults{LoseAnswers: 1})
package platform

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// MaxValue is the limit for one value.
const MaxValue = 1 << 20

// Faults is what goes wrong.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"Down"`
	// SlowMs delays every call.
	SlowMs int `json:"SlowMs"`
	// LoseAnswers is the number of writes to come that take effect and whose
	// answers are lost.
	LoseAnswers int `json:"LoseAnswers"`
	// LoseWrites is the number of writes to come that are lost on the way.
	LoseWrites int `json:"LoseWrites"`
	// SpareWrites is the number of writes that go well before any is lost.
	SpareWrites int `json:"SpareWrites"`
	// DownAfterLoss takes the platform down with the last lost answer or write.
	DownAfterLoss bool `json:"DownAfterLoss"`
	// Spared is a prefix of keys whose writes go well and are not counted, if it is not empty.
	Spared string `json:"Spared"`
	// Cut lists the listen addresses that refuse every call.
	Cut []string `json:"Cut"`
}

// Counts is how often each method was called.
type Counts struct {
	Reads   int64 `json:"Reads"`
	Writes  int64 `json:"Writes"`
	Watches int64 `json:"Watches"`
	Leases  int64 `json:"Leases"`
}

type value struct {
	data     []byte
	revision int64
	lease    int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Platform is the fake.
type Platform struct {
	mu       sync.Mutex
	revision int64
	values   map[string]value
	leases   map[int64]lease
	faults   Faults
	counts   Counts
	kept     map[string][]byte
	changed  chan struct{}
	broken   chan struct{}
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{
		revision: 1,
		values:   map[string]value{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
		broken:   make(chan struct{}),
	}
}

// SetFaults changes what goes wrong. Open watches end, as they do in an outage.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = f
	close(p.broken)
	p.broken = make(chan struct{})
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.counts
}

// Snapshot returns a copy of the state, and Restore puts it back: together they
// play a platform that comes back from an older copy.
func (p *Platform) Snapshot() map[string][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()

	out := make(map[string][]byte, len(p.values))
	for k, v := range p.values {
		out[k] = v.data
	}

	return out
}

// Restore replaces the state by an older copy.
func (p *Platform) Restore(state map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.values = map[string]value{}
	for k, v := range state {
		p.revision++
		p.values[k] = value{data: v, revision: p.revision}
	}

	p.notify()
}

// keepCopy keeps the state as it is now, restoreCopy goes back to it.
func (p *Platform) keepCopy() {
	state := p.Snapshot()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.kept = state
}

func (p *Platform) restoreCopy() {
	p.mu.Lock()
	state := p.kept
	p.mu.Unlock()

	if state != nil {
		p.Restore(state)
	}
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true

	v3 := e.Group("/v3", p.fail)
	v3.POST("/kv/range", p.rangeKeys)
	v3.POST("/kv/txn", p.txn)
	v3.POST("/watch", p.watch)
	v3.POST("/lease/grant", p.grant)
	v3.POST("/lease/keepalive", p.keepAlive)

	e.POST("/standin/faults", func(c echo.Context) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}

		p.SetFaults(f)

		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/copy", func(c echo.Context) error {
		p.keepCopy()

		return c.NoContent(http.StatusNoContent)
	})
	e.POST("/standin/restore", func(c echo.Context) error {
		p.restoreCopy()

		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/standin/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })

	return e
}

func (p *Platform) fail(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()

		if f.Down || cut(f.Cut, c.Request()) {
			return c.JSON(http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		}

		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)

		return next(c)
	}
}

func cut(addresses []string, r *http.Request) bool {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(interface{ String() string })
	if local == nil {
		return false
	}

	for _, a := range addresses {
		if a == local.String() {
			return true
		}
	}

	return false
}

type wireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type rangeIn struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type rangeOut struct {
	Header wireHeader `json:"header"`
	Kvs    []wireKV   `json:"kvs"`
	Count  int64      `json:"count,string"`
}

func (p *Platform) rangeKeys(c echo.Context) error {
	var in rangeIn
	if err := json.NewDecoder(c.Request().Body).Decode(&in); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.counts.Reads++
	p.expire()

	return c.JSON(http.StatusOK, p.read(in))
}

func (p *Platform) read(in rangeIn) rangeOut {
	out := rangeOut{Header: wireHeader{p.revision}}

	if len(in.RangeEnd) == 0 {
		if v, ok := p.values[string(in.Key)]; ok {
			out.Kvs = append(out.Kvs, wireKV{in.Key, v.data, v.revision})
		}
	} else {
		for k, v := range p.values {
			if inRange(k, string(in.Key), string(in.RangeEnd)) {
				out.Kvs = append(out.Kvs, wireKV{[]byte(k), v.data, v.revision})
			}
		}
	}

	out.Count = int64(len(out.Kvs))

	return out
}

func inRange(key, from, to string) bool {
	return strings.Compare(key, from) >= 0 && strings.Compare(key, to) < 0
}

func (p *Platform) expire() {
	now := time.Now()

	for id, l := range p.leases {
		if now.Before(l.expires) {
			continue
		}

		delete(p.leases, id)

		for k, v := range p.values {
			if v.lease == id {
				delete(p.values, k)
			}
		}
	}
}
