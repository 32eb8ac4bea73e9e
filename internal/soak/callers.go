package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/pkg/settings"
)

// Bounds of the callers.
const (
	// hangBound is what a call may take over its route's deadline; callers on a
	// busy machine need most of it themselves.
	hangBound  = 2 * time.Second
	maxRepeats = 4
	// impatientShare of the keyed calls is sent again while the first attempt is
	// still under way.
	impatientShare = 0.1
	// longShare of the calls takes longWork, and most of them while only planned
	// stops happen, so that there is always something in flight to cut off.
	longShare        = 0.15
	longSharePlanned = 0.6
	longWork         = 300 * time.Millisecond
	opaqueShare      = 0.3
	poisonSends      = 5
)

// callers make the mixed load and check every answer against its request.
type callers struct {
	recorder *recorder
	ledger   *ledger
	fleet    *harness.Fleet
	routes   []settings.Resolved
	client   *http.Client

	// planned is set while only planned stops happen; stopping tells which
	// nodes are being stopped, so that callers keep away as from any host that
	// said that it leaves.
	planned  atomic.Bool
	stopping sync.Map
	homes    sync.Map // newest home name by host

	mu     sync.Mutex
	told   map[string]*told
	frozen map[string]time.Time // until when a node was frozen at least
}

// freeze notes that a node is frozen until the given time.
func (c *callers) freeze(id string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.frozen[id] = until
}

// leave notes that callers have noticed that a node leaves.
func (c *callers) leave(host int, id string) {
	c.stopping.Store(id, true)
	c.homes.Delete(host)
}

func (c *callers) wasFrozen(id string, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.frozen[id].After(since)
}

func newCallers(r *recorder, l *ledger, f *harness.Fleet, t settings.Tree) *callers {
	return &callers{
		recorder: r, ledger: l, fleet: f, routes: t.Resolve(), told: map[string]*told{}, frozen: map[string]time.Time{},
		// One connection per call: a refused connection is then proof that
		// nothing was sent, and an end without an answer is a cut.
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// run sends calls at a fixed rate until ctx ends, and waits for their answers.
func (c *callers) run(ctx context.Context, rate int) {
	var wg sync.WaitGroup

	start, gap := time.Now(), time.Second/time.Duration(rate)

	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * gap)))

		route := c.routes[n%len(c.routes)]

		wg.Go(func() { c.call(route) })
	}

	wg.Wait()
}

// notStarted are refusals of a key whose home was replaced or handed over: the
// attempt was not started, and an earlier one may have run. Nothing in flight was
// cut off.
var notStarted = map[string]bool{"once.taken_over": true, "once.not_home": true, "once.home_gone": true}

// attempt is one request of a call.
type attempt struct {
	route   settings.Resolved
	echo    string // the same in repeats: a key is of one request
	key     string
	crash   string
	planned bool
}

// outcome is what an attempt led to.
type outcome struct {
	ok     bool
	ran    call.Ran
	unsent bool
	// stayed is set if the node says that it did not hand the attempt on: nothing
	// was cut off.
	stayed bool
	reason string
}

// call sends one call; a keyed one is repeated through other nodes with the same
// key until it is known to have run or not.
func (c *callers) call(route settings.Resolved) {
	a := attempt{route: route, echo: ulid.Make().String(), planned: c.planned.Load()}
	if route.Values.Idempotent {
		c.send(a)

		return
	}

	a.key = c.newKey()
	c.recorder.add(func(r *Report) { r.Calls.Keys++ })

	if rand.Float64() < impatientShare {
		a.planned = false // either attempt may find the other one under way

		go c.send(a)
	}

	for range maxRepeats {
		o := c.send(a)
		if o.ok || o.ran == call.RanNo || o.ran == call.RanYes {
			return
		}

		const pause = 300 * time.Millisecond

		time.Sleep(rand.N(pause))
		c.recorder.add(func(r *Report) { r.Calls.Repeats++ })
	}
}

// newKey returns a key that names its home, made of the home name in an earlier
// answer, or an opaque one, as a caller makes that knows nothing of the mesh.
func (c *callers) newKey() string {
	token := ulid.Make().String()

	home, known := c.homes.Load(rand.IntN(len(c.fleet.Hosts)))
	if !known || rand.Float64() < opaqueShare {
		return token
	}

	return home.(string) + "." + token
}

func (c *callers) node() harness.Host {
	for {
		h := c.fleet.Hosts[rand.IntN(len(c.fleet.Hosts))]
		if _, leaving := c.stopping.Load(h.ID); !leaving {
			return h
		}
	}
}

func (c *callers) send(a attempt) outcome {
	host, body := c.node(), a.body()
	limit := time.Duration(a.route.Values.Deadline) + hangBound

	// The caller would wait for longer, so that a hang is seen as such.
	ctx, cancel := context.WithTimeout(context.Background(), limit+hangBound)
	defer cancel()

	req := c.request(ctx, a, host, body)
	start := time.Now()
	o := c.exchange(req, a, body)
	elapsed := time.Since(start)

	// Nothing comes from a frozen process; what the fleet promises is that no
	// other node makes callers wait for it.
	if !c.wasFrozen(host.ID, start) {
		c.recorder.check(PromiseNoHang, elapsed <= limit, "%s through %s took %s, %s", a.route.Path, host.ID, elapsed, o.reason)
	}

	if a.planned && c.planned.Load() && !o.unsent {
		c.recorder.check(PromisePlannedStop, o.ok || o.stayed || o.ran == call.RanNo, "%s through %s: %s after %s of %s",
			a.route.Path, host.ID, o.reason, elapsed, time.Duration(a.route.Values.Deadline))
	}

	c.count(a, o)

	return o
}

// body is what the request of the attempt carries.
func (a attempt) body() string {
	if a.route.Match.Method == http.MethodGet {
		return ""
	}

	return "body " + a.echo
}

func (c *callers) request(ctx context.Context, a attempt, host harness.Host, body string) *http.Request {
	path := a.route.Match.PathPrefix + a.echo
	if a.crash != "" {
		path = a.route.Match.PathPrefix + a.crash
	}

	req, err := http.NewRequestWithContext(ctx, a.route.Match.Method, "http://"+host.Caller+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the addresses are the harness's own
	}

	req.GetBody = nil // the transport must not send an upload twice
	req.Header.Set(backend.HeaderEcho, a.echo)

	if a.key != "" {
		req.Header.Set(frontend.HeaderKey, a.key)
	}

	if a.crash != "" {
		req.Header.Set(backend.HeaderCrash, a.crash)
	}

	share := longShare
	if a.planned {
		share = longSharePlanned
	}

	if rand.Float64() < share && time.Duration(a.route.Values.Deadline) > 2*longWork {
		req.Header.Set(backend.HeaderWorkMs, strconv.FormatInt(longWork.Milliseconds(), 10))
	}

	return req
}

func (c *callers) exchange(req *http.Request, a attempt, body string) outcome {
	resp, err := c.client.Do(req)
	if err == nil {
		c.learn(resp.Header)
	}

	if err != nil {
		return outcome{reason: err.Error(), unsent: strings.Contains(err.Error(), "connection refused")}
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{reason: "answer cut short: " + err.Error()}
	}

	ran := call.Ran(resp.Header.Get(frontend.HeaderRan))

	if resp.StatusCode != http.StatusOK {
		var t frontend.Rejection

		_ = json.Unmarshal(data, &t)

		stayed := t.NotForwarded || notStarted[t.ID]

		return outcome{ran: ran, stayed: stayed, reason: fmt.Sprintf("call %s status %d %s %s (%s)",
			resp.Header.Get(frontend.HeaderCall), resp.StatusCode, t.ID, t.Detail, ran)}
	}

	c.verify(data, a, req.URL.Path, body)

	return outcome{ok: true, ran: ran}
}

// learn keeps the newest home name of each node.
func (c *callers) learn(h http.Header) {
	for i, host := range c.fleet.Hosts {
		if _, leaving := c.stopping.Load(host.ID); leaving {
			c.homes.Delete(i)

			continue
		}

		if name := h.Get(frontend.HeaderHome); name != "" && host.ID == h.Get(frontend.HeaderNode) {
			c.homes.Store(i, name)
		}
	}
}

// poison sends a request that ends each backend server which runs it, again and
// again through any node.
func (c *callers) poison(ctx context.Context, name string) {
	for _, route := range c.routes {
		if !route.Values.Idempotent || route.Match.Method != http.MethodGet {
			continue
		}

		for range poisonSends {
			c.send(attempt{route: route, echo: ulid.Make().String(), crash: name})

			const pause = 400 * time.Millisecond

			idle.For(ctx, pause)
		}

		break
	}

	n := c.ledger.crashes(name)
	c.recorder.check(PromisePoison, n <= poisonLimit, "%s ended %d backend servers", name, n)
	c.recorder.add(func(r *Report) { r.Poisons[name] = n })
}
