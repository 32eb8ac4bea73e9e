package poison

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Reasons for which a suspect may not run now.
var (
	errUnreached = errs.New("poison.unreached", http.StatusServiceUnavailable, "the gate that permits can't be reached")
	errUntold    = errs.New("poison.untold", http.StatusServiceUnavailable, "not all gates that are thought to run know of the crash")
	errTaken     = errs.New("poison.taken", http.StatusServiceUnavailable, "the request runs elsewhere")
	errGone      = errs.New("poison.gone", http.StatusServiceUnavailable, "the gate that permits was started again")
)

// waitingRetry is when the caller of a suspect that may not run now comes back: a run
// ends within that time, and so does the doubt about a gate that can't be reached.
const waitingRetry = time.Second

// giver is the gate that permitted a run.
type giver struct {
	node    string
	address string // empty is this gate
}

// take asks for permission to run a suspect. The gate that saw its first crash permits;
// if that one is gone, the first by name of the gates that are thought to run. Who
// permits has told all of them of the crash before. So the second run that crashes finds
// everybody warned, whoever is cut off from whom, and copies run one after the other.
//
// A gate that is thought to run and can't be reached is waited for, two to six seconds
// until it is held for dead: the callers of innocent requests that were running in a crash
// are refused as not run in that time, with a time to come back. Let through without an
// answer, copies on both sides of a cut ended three and four.
func (w *Watch) take(ctx context.Context, c Crash, p Permit) (giver, error) {
	running := w.others(p.Service, live)
	p.Gate = c.Gate

	if c.Gate == w.self.Life {
		return giver{node: w.self.Node}, w.permit(ctx, p)
	}

	for _, m := range running {
		if m.PeerAddress != c.Address {
			continue
		}

		g := giver{m.ID, m.PeerAddress}
		if err := w.askPermit(ctx, g, p); !errors.Is(err, errGone) {
			return g, err
		}
	}

	return w.takeOfAnother(ctx, running, p)
}

// takeOfAnother asks the gate that stands in for one that is gone.
func (w *Watch) takeOfAnother(ctx context.Context, running []membership.Record, p Permit) (giver, error) {
	p.Gate = ""

	g := giver{node: w.self.Node}
	for _, m := range running {
		if m.ID < g.node {
			g = giver{m.ID, m.PeerAddress}
		}
	}

	if g.address == "" {
		return g, w.permit(ctx, p)
	}

	return g, w.askPermit(ctx, g, p)
}

func (w *Watch) askPermit(ctx context.Context, g giver, p Permit) error {
	var out Permitted
	if err := w.peers.Do(ctx, g.address, peer.LaneControl, MethodTake, p, &out); err != nil {
		return errUnreached.With("%s", g.node).Wrap(err)
	}

	w.table.Heard(p.Suspect, out.Crashes)

	return out.err()
}

// permit permits a suspect to run, here or at the gate that asks, once everybody knows
// of the crash and nobody else runs it.
func (w *Watch) permit(ctx context.Context, p Permit) error {
	d := p.Suspect.Digest

	w.table.Heard(p.Suspect, p.Crashes)

	if !w.table.Adopt(d) || !w.allTold(ctx, p) {
		return errUntold
	}

	if !w.permits.Take(ctx, d) {
		return errTaken
	}

	if w.table.Judge(d).Refused {
		w.permits.Give(d)

		return errTaken
	}

	return nil
}

// allTold reports whether all gates that are thought to run know of the crashes of a
// request, after it has told those that don't.
func (w *Watch) allTold(ctx context.Context, p Permit) bool {
	revision := w.table.Revision(p.Suspect.Digest)

	missing := w.others(p.Service, func(m membership.Record) bool {
		return m.Live() && w.told.of(m).revision < revision
	})
	if len(missing) == 0 {
		return true
	}

	w.nudge(p.Service)

	return w.tell(ctx, missing)
}

// give gives a permit back, with the crashes that are known now: the warning of the run's
// own may have arrived nowhere, and the next one that asks would be let through. A permit
// that does not arrive runs out.
func (w *Watch) give(ctx context.Context, g giver, p Permit) {
	p.Crashes = w.table.Crashes(p.Suspect.Digest)

	if g.address == "" {
		w.permits.Give(p.Suspect.Digest)

		return
	}

	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTime)
	defer cancel()

	var out Done

	_ = w.peers.Do(ctx, g.address, peer.LaneControl, MethodGive, p, &out)
}
