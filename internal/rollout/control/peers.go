package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/rollout"
	"github.com/pollencart/pollencart/internal/rollout/evidence"
)

// Methods of the protocol between nodes.
const (
	methodPush   = "Rollout.Push"
	methodPull   = "Rollout.Pull"
	methodReport = "Rollout.Report"
)

const (
	// requestTimeout bounds a message: a hundred times the round-trip time between hosts.
	requestTimeout = 400 * time.Millisecond
	// firstPullInterval is the pause between pulls until something is known, pullInterval the
	// one while a roll-out is not settled, idlePullInterval the one otherwise.
	firstPullInterval = 40 * time.Millisecond
	pullInterval      = time.Second
	idlePullInterval  = 4 * time.Second
)

// maxViews bounds the roll-outs in a message.
const maxViews = 256

// viewMessage is a view with its ages, since hosts have no common clock.
type viewMessage struct {
	Rollout   rollout.Rollout `msgpack:"Rollout"`
	OrderedMs int64           `msgpack:"OrderedMs"`
	SinceMs   int64           `msgpack:"SinceMs"`
	Document  int64           `msgpack:"Document"`
}

// update carries what a node knows of roll-outs.
type update struct {
	// Loaded reports that the sender knows of all orders.
	Loaded bool          `msgpack:"Loaded"`
	Views  []viewMessage `msgpack:"Views"`
}

// Check returns an error if a decoded message is invalid.
func (u *update) Check() error {
	if len(u.Views) > maxViews {
		return rollout.ErrOrder.With("%d roll-outs", len(u.Views))
	}

	for i := range u.Views {
		if err := u.Views[i].Rollout.Check(); err != nil {
			return err
		}
	}

	return nil
}

// empty is a message without content.
type empty struct{}

func jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }

func (a *Agent) update() update {
	out := update{Loaded: a.loaded.Load()}

	for _, v := range *a.current.Load() {
		if len(out.Views) < maxViews {
			out.Views = append(out.Views, viewMessage{
				v.Rollout, time.Since(v.ordered).Milliseconds(), time.Since(v.since).Milliseconds(), v.document,
			})
		}
	}

	return out
}

// merge takes over what another node knows and reports whether anything is new.
func (a *Agent) merge(u update) bool {
	now := time.Now()
	news := false

	for _, m := range u.Views {
		news = a.adopt(view{
			m.Rollout, now.Add(-time.Duration(m.OrderedMs) * time.Millisecond), now.Add(-time.Duration(m.SinceMs) * time.Millisecond), m.Document,
		}) || news
	}

	if u.Loaded && !a.loaded.Swap(true) {
		a.applyRole()
	}

	return news
}

// pushAll sends what this node knows to the nodes of its failure domain and to the judges of
// all others, which pass it on.
func (a *Agent) pushAll(ctx context.Context) {
	a.push(ctx, append(a.options.Members.Neighbours(), a.judgeRecords()...))
}

// pushToService sends what this node knows to the nodes that may have a canary.
func (a *Agent) pushToService(ctx context.Context, service string) {
	a.push(ctx, a.options.Members.OfService(service))
}

func (a *Agent) push(ctx context.Context, to []membership.Record) {
	message, self := a.update(), a.options.Members.Self().ID
	sent := map[string]bool{self: true}

	for _, r := range to {
		if sent[r.ID] || !r.Live() {
			continue
		}

		sent[r.ID] = true

		go func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()

			_ = a.options.Peers.Do(ctx, r.PeerAddress, peer.LaneControl, methodPush, message, &empty{}) // the node pulls what it missed
		}()
	}
}

// servePush handles what another node knows. A judge passes news on to its failure domain.
func (a *Agent) servePush(ctx context.Context, u update) (empty, error) {
	if a.merge(u) && a.isJudge() {
		a.push(membudget.Detach(ctx), a.options.Members.Neighbours())
	}

	return empty{}, nil
}

func (a *Agent) servePull(context.Context, empty) (update, error) { return a.update(), nil }

// pullLoop pulls from a judge to repair lost pushes: one of this failure domain, or any while
// nothing is known.
func (a *Agent) pullLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.isJudge() || !a.loaded.Load() {
			a.pull(ctx)
		}

		interval := idlePullInterval

		switch {
		case !a.loaded.Load():
			interval = firstPullInterval
		case a.active():
			interval = pullInterval
		}

		idle.For(ctx, jitter(interval))
	}
}

func (a *Agent) pull(ctx context.Context) {
	self := a.options.Members.Self()

	judges := membership.Without(a.options.Members.FirstOf(self.FailureDomain, Judges), self.ID)
	if len(judges) == 0 || !a.loaded.Load() {
		judges = membership.Without(a.judgeRecords(), self.ID)
	}

	if len(judges) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()

	var u update

	address := judges[rand.IntN(len(judges))].PeerAddress
	if a.options.Peers.Do(ctx, address, peer.LaneControl, methodPull, empty{}, &u) == nil { // the next pull tries another node
		a.merge(u)
	}
}

// serveReport adds the counts of another node.
func (a *Agent) serveReport(_ context.Context, r evidence.Report) (empty, error) {
	a.addReport(r)

	return empty{}, nil
}

func (a *Agent) addReport(r evidence.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()

	v, ok := a.views[r.Service]
	if !ok || v.Epoch != r.Epoch || v.Revision != r.Revision {
		return // of an order that this node does not know yet, or of an earlier one
	}

	a.judges[r.Service].Add(r)
	a.idle[r.Node] = idleReport{time.Now(), r.InFlight}
}
