package poison

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Reasons for which a suspect may not run now.
var (
	errGranterUnreachable = errs.New("poison.unreached", http.StatusServiceUnavailable, "the gate that permits can't be reached")
	errNotAllNotified     = errs.New("poison.untold", http.StatusServiceUnavailable, "not all gates that are thought to run know of the crash")
	errRunsElsewhere      = errs.New("poison.taken", http.StatusServiceUnavailable, "the request runs elsewhere")
	errGranterRestarted   = errs.New("poison.gone", http.StatusServiceUnavailable, "the gate that permits was started again")
)

// waitingRetryAfter is when the caller may retry a suspect that may not run now. A run
// usually ends within that time.
const waitingRetryAfter = time.Second

// granter is the gate that granted a permit.
type granter struct {
	node    string
	address string // empty for this gate
}

// acquirePermit requests a permit to run a suspect. The gate that saw its first crash
// grants it or, if that gate has terminated, the live gate with the lowest node ID. The
// granter notifies all live gates of the crash first, so that every gate, on either side
// of a network partition, knows of it if the permitted run crashes as well. Copies of the
// request run one at a time.
//
// While a gate that is considered alive can't be reached, no permit is granted. That
// takes two to six seconds, until the gate is considered failed; callers of unrelated
// suspects are refused as not run for that time, with a time to retry. Granting without
// an answer let copies on both sides of a partition crash three and four backend servers.
func (w *Watch) acquirePermit(ctx context.Context, c Crash, p PermitRequest) (granter, error) {
	p.Gate, p.From = c.Gate, w.asGate(p.Service)

	if c.Gate == w.self.BootID {
		return granter{node: w.self.Node}, w.grant(ctx, p)
	}

	if g, ok := w.findGranter(c, p.Service); ok {
		if err := w.requestPermit(ctx, g, p); !errors.Is(err, errGranterRestarted) {
			return g, err
		}
	}

	return w.acquireFromSubstitute(ctx, p)
}

// convergenceTime is how long after its start a gate may lack the records of others that run.
const convergenceTime = 2 * time.Second

// findGranter returns the gate that saw a crash, unless it has terminated. Membership may not have
// a gate yet that started together with this one, so one without a record is asked at its address
// until convergenceTime after the start. If a substitute were asked, two permits would be held.
func (w *Watch) findGranter(c Crash, service string) (granter, bool) {
	recorded := false

	for _, m := range w.otherGates(service, anyState) {
		switch {
		case m.PeerAddress != c.Address:
		case m.Live():
			return granter{m.ID, m.PeerAddress}, true
		default:
			recorded = true
		}
	}

	return granter{c.Address, c.Address}, !recorded && time.Since(w.began) < convergenceTime
}

// acquireFromSubstitute requests the permit from the gate that stands in for a terminated
// one.
func (w *Watch) acquireFromSubstitute(ctx context.Context, p PermitRequest) (granter, error) {
	p.Gate = ""

	g := w.substitute(p.Service)
	if g.address == "" {
		return g, w.grant(ctx, p)
	}

	return g, w.requestPermit(ctx, g, p)
}

// substitute returns the gate that stands in for a terminated one: the live one with the lowest node
// ID.
func (w *Watch) substitute(service string) granter {
	g := granter{node: w.self.Node}

	for _, m := range w.otherGates(service, live) {
		if m.ID < g.node && m.Upstream.Service == service {
			g = granter{m.ID, m.PeerAddress}
		}
	}

	return g
}

func (w *Watch) requestPermit(ctx context.Context, g granter, p PermitRequest) error {
	var out PermitReply
	if err := w.peers.Do(ctx, g.address, peer.LaneControl, MethodAcquire, p, &out); err != nil {
		return errGranterUnreachable.With("%s", g.node).Wrap(err)
	}

	w.table.MergeCrashes(p.Suspect, out.Crashes)

	return out.err()
}

// grant lets a suspect run, here or at the requesting gate, once all live gates know of
// the crash and no other gate runs it.
func (w *Watch) grant(ctx context.Context, p PermitRequest) error {
	d := p.Suspect.Digest

	w.table.MergeCrashes(p.Suspect, p.Crashes)

	if !w.table.Adopt(d) || !w.notifyAll(ctx, p) {
		return errNotAllNotified
	}

	if p.Gate == "" {
		w.table.Renew(d) // a holder of a permit of the terminated gate may still run it

		if !w.notifyAll(ctx, p) {
			return errNotAllNotified
		}
	}

	// Gates that do not know each other yet may choose different substitutes. One that learns of a
	// lower one while it notifies all leaves the permit to that one.
	if p.Gate == "" && w.substitute(p.Service).address != "" {
		return errNotAllNotified
	}

	if !w.permits.Acquire(ctx, d) {
		return errRunsElsewhere
	}

	if w.table.Evaluate(d).Refused || w.runningRequests()[d] || !w.confirmExpired(ctx, p) {
		w.permits.Release(d)

		return errRunsElsewhere
	}

	return nil
}

// confirmExpired reports whether no gate runs the request anymore with a permit that expired.
func (w *Watch) confirmExpired(ctx context.Context, p PermitRequest) bool {
	d := p.Suspect.Digest
	if !w.permits.Expired(d) {
		return true
	}

	w.table.Renew(d)

	if !w.notifyAll(ctx, p) {
		return false
	}

	w.permits.ClearExpired(d)

	return !w.table.Evaluate(d).Refused
}

// notifyAll notifies the live gates that do not know of the crashes of a request yet or run it, and
// reports whether all of them know now and none runs it.
func (w *Watch) notifyAll(ctx context.Context, p PermitRequest) bool {
	revision := w.table.Revision(p.Suspect.Digest)
	unnotified := func(m membership.Record) bool {
		a := w.notified.ackOf(m)

		return m.Live() && (a.revision < revision || a.running[p.Suspect.Digest])
	}

	if len(w.otherGates(p.Service, unnotified)) == 0 {
		return true
	}

	w.wakeRun(p.Service)

	// Other suspects that run at the notified gates do not count.
	w.notify(ctx, p.Service, unnotified)

	return len(w.otherGates(p.Service, unnotified)) == 0
}

// releasePermit returns a permit together with the crashes known now. If the
// notifications of a crash during this run were lost, the granter learns of it here,
// before it grants the next permit. A permit whose release does not arrive expires.
func (w *Watch) releasePermit(ctx context.Context, g granter, p PermitRequest) {
	p.Crashes = w.table.Crashes(p.Suspect.Digest)

	if g.address == "" {
		w.permits.Release(p.Suspect.Digest)

		return
	}

	ctx, cancel := context.WithTimeout(membudget.Detach(ctx), notifyTimeout)
	defer cancel()

	var out Empty

	_ = w.peers.Do(ctx, g.address, peer.LaneControl, MethodRelease, p, &out)
}
