package poison_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/timeline"
)

const service = "browse"

// dialTime is after how long a connection over a cut link is given up.
const dialTime = 300 * time.Millisecond

// errCut is what a link that is cut ends with.
var errCut = peer.ErrUnreachable.With("link is cut")

// mesh is some gates of one service without processes: messages between them are
// calls of functions, and links can be cut.
type mesh struct {
	t     *testing.T
	gates map[string]*gate

	mu   sync.Mutex
	cuts map[[2]string]bool
	lag  time.Duration  // of each message
	sent map[string]int // by method
}

// gate is one gate with its backend server.
type gate struct {
	mesh    *mesh
	id      string
	lives   int
	watch   *poison.Watch
	stop    context.CancelFunc
	stood   standstills
	crashes int

	mu   sync.Mutex
	held map[string]membership.State // what its node holds of others
}

func newMesh(t *testing.T, ids ...string) *mesh {
	t.Helper()

	m := &mesh{t: t, gates: map[string]*gate{}, cuts: map[[2]string]bool{}, sent: map[string]int{}}
	for _, id := range ids {
		m.gates[id] = &gate{mesh: m, id: id, held: map[string]membership.State{}}
	}

	for _, id := range ids {
		m.gates[id].start()
	}

	// A gate that just started asks about the time before, and one that is alone waits for
	// somebody to ask.
	time.Sleep(time.Second)

	for _, id := range ids {
		m.finish(id, "/folders/first")
	}

	return m
}

// crashedTwice is a mesh in which the poison request ended the backend servers of a and b.
func crashedTwice(t *testing.T) *mesh {
	t.Helper()

	m := newMesh(t, "a", "b", "c")
	_ = m.press("a")
	_ = m.press("b")
	assert.Equal(t, m.crashes(), 2)

	return m
}

// start begins another life of the gate, which knows nothing.
func (g *gate) start() {
	m := g.mesh
	m.mu.Lock()
	defer m.mu.Unlock()

	if g.stop != nil {
		g.stop()
	}

	ctx, cancel := context.WithCancel(m.t.Context())

	g.lives++
	self := poison.Self{Node: g.id, Life: fmt.Sprintf("%s#%d", g.id, g.lives), Address: g.id}
	g.watch = poison.NewWatch(self, g, g, timeline.New(timeline.Node(g.id))).WithStandstills(&g.stood)
	g.stop = cancel

	go g.watch.Run(ctx)
}

// now returns the life of the gate that runs, and how many there were.
func (g *gate) now() (*poison.Watch, int) {
	g.mesh.mu.Lock()
	defer g.mesh.mu.Unlock()

	return g.watch, g.lives
}

// meets sets that the gate's node has met others.
func (g *gate) meets(ids ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, id := range ids {
		delete(g.held, id)
	}
}

// OfService is the nodes that the gate's node knows.
func (g *gate) OfService(string) []membership.Record {
	g.mu.Lock()
	defer g.mu.Unlock()

	var out []membership.Record

	for _, id := range slices.Sorted(maps.Keys(g.mesh.gates)) {
		_, lives := g.mesh.gates[id].now()
		state := g.held[id]
		if state == 0 {
			state = membership.StateAlive
		}

		out = append(out, membership.Record{
			ID: id, PeerAddress: id, State: state, Incarnation: uint64(lives), Upstream: membership.Upstream{Service: service},
		})
	}

	return out
}

// CountLive counts the nodes that the gate's node thinks run.
func (g *gate) CountLive() int {
	n := 0

	for _, r := range g.OfService(service) {
		if r.Live() {
			n++
		}
	}

	return n
}

// standstills counts how often the gate's process stood still.
type standstills struct{ n atomic.Int64 }

func (s *standstills) Woke() time.Duration { return time.Duration(s.n.Load()) }

// holdsForDead sets that the gate's node holds another for dead.
func (g *gate) holdsForDead(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.held[id] = membership.StateDead
}

// Do carries a message to another gate.
func (g *gate) Do(ctx context.Context, address string, _ peer.Lane, method string, in, out any) error {
	g.mesh.count(method)

	if err := g.mesh.carry(ctx, g.id, address); err != nil {
		return err
	}

	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	w, _ := g.mesh.gates[address].now()

	answer, err := w.Handlers()[method](ctx, body)
	if err != nil {
		return err
	}

	if err := g.mesh.carry(ctx, address, g.id); err != nil {
		return err
	}

	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}

	return msgpack.Unmarshal(body, out)
}

func (m *mesh) count(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.sent[method]++
}

// sentOf returns how many messages of a method were sent.
func (m *mesh) sentOf(method string) int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.sent[method]
}

// carry takes as long as a message does; over a cut link it ends as a cut network
// does, when the sender gives up.
func (m *mesh) carry(ctx context.Context, from, to string) error {
	m.mu.Lock()
	lag, cut := m.lag, m.cuts[[2]string{from, to}]
	m.mu.Unlock()

	if cut {
		select {
		case <-ctx.Done():
		case <-time.After(dialTime):
		}

		return errCut
	}

	// Timers that are due at once, read by many goroutines of one bubble, share what the
	// race detector keeps of the bubble's timers and end the process.
	if lag == 0 {
		return ctx.Err()
	}

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(lag):
		return nil
	}
}

// cut cuts the links between two gates, or mends them.
func (m *mesh) cut(a, b string, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.cuts[[2]string{a, b}], m.cuts[[2]string{b, a}] = on, on
}

func (m *mesh) slow(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.lag = lag
}

// press sends the poison request to a gate. It ends the backend server, which
// starts again, unless the gate refuses; the refusal is returned.
func (m *mesh) press(id string) error {
	g := m.gates[id]

	end, err := g.begin("/folders/broken")
	if err != nil {
		return err
	}

	g.crashes++
	end(poison.Crashed)

	return nil
}

// finish sends a request that is answered.
func (m *mesh) finish(id, uri string) {
	m.t.Helper()

	end, err := m.gates[id].begin(uri)
	assert.NilError(m.t, err)
	end(poison.Finished)
}

func (g *gate) begin(uri string) (func(poison.Result) []poison.Crash, error) {
	const patience = 500 * time.Millisecond // of the caller

	ctx, cancel := context.WithTimeout(g.mesh.t.Context(), patience)

	end, err := g.watch.Begin(ctx, call.Call{ID: "c", Service: service, Method: "GET", URI: uri})
	if err != nil {
		cancel()

		return nil, err
	}

	return func(r poison.Result) []poison.Crash {
		defer cancel()

		return end(r)
	}, nil
}

// crashes returns how many backend servers ended.
func (m *mesh) crashes() int {
	n := 0
	for _, g := range m.gates {
		n += g.crashes
	}

	return n
}

// cutOff cuts the links between a gate and all others, or mends them.
func (m *mesh) cutOff(id string, on bool) {
	for o := range m.gates {
		if o != id {
			m.cut(id, o, on)
		}
	}
}
