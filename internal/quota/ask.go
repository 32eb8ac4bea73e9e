package quota

import (
	"context"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/quota/ledger"
	"github.com/pollencart/pollencart/internal/timeline"
)

// askTimeout bounds an ask: some tens of round trips, and a busy host's scheduling delay.
const askTimeout = 150 * time.Millisecond

// outcome is what came of an ask.
type outcome uint8

const (
	answered outcome = iota + 1
	unanswered
	unready // the home grants nothing yet
)

// wait asks the home of a workspace for the calls that wait, or waits for the ask in flight.
func (a *Agent) wait(ctx context.Context, e *entry, t target, l ledger.Limit) outcome {
	e.mu.Lock()
	e.waiting++
	e.limit = l
	flight := a.fly(e, t)
	e.mu.Unlock()

	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()

		e.waiting--
	}()

	select {
	case <-flight.done:
		return flight.outcome
	case <-ctx.Done():
		return unanswered
	}
}

// flight is an ask whose answer several calls may wait for.
type flight struct {
	done    chan struct{}
	outcome outcome
}

// fly returns the ask in flight, or sends one. e.mu must be held.
func (a *Agent) fly(e *entry, t target) *flight {
	if e.flight != nil {
		return e.flight
	}

	f := &flight{done: make(chan struct{})}
	e.flight = f
	item := ledger.Item{
		Workspace: e.name, Limit: e.limit, Need: e.waiting, Spare: e.wallet.Spare(), Refused: e.wallet.Refused(),
	}

	go func() {
		sent := time.Now()
		out, err := a.ask(t, item)

		f.outcome = unanswered

		if err == nil && len(out.Grants) == 1 {
			e.wallet.Granted(out.Grants[0], sent)

			f.outcome = answered
			if out.Grants[0].Unready {
				f.outcome = unready
			}
		}

		e.mu.Lock()
		e.flight = nil
		e.mu.Unlock()
		close(f.done)
	}()

	return f
}

// prefetch asks for more calls if few are left.
func (a *Agent) prefetch(e *entry, l ledger.Limit) {
	if e.wallet.Spare() == 0 {
		return
	}

	t := a.homes.of(e.name)
	if !t.reachable {
		return
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	e.limit = l
	a.fly(e, t)
}

// ask sends an ask to a home, with the renewal of the delegation.
func (a *Agent) ask(t target, items ...ledger.Item) (ledger.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()

	in := a.homes.header(t.id, a.known())
	in.Items = items

	out, err := a.exchange(ctx, t, in)
	if err != nil {
		if a.homes.failed(t.id) {
			a.options.Recorder.Record(event.QuotaHomeLost, timeline.Entry{Peer: t.id, Detail: err.Error()})
		}

		return out, err
	}

	if a.homes.answered(t.id, out) {
		a.options.Recorder.Record(event.QuotaHomeFound, timeline.Entry{Peer: t.id})
	}

	return out, nil
}

func (a *Agent) exchange(ctx context.Context, t target, in ledger.Ask) (ledger.Answer, error) {
	if t.id == a.self {
		return a.serve(in), nil
	}

	var out ledger.Answer

	if t.address == "" {
		return out, peer.ErrUnreachable.With("%s: no address", t.id)
	}

	err := a.options.Peers.DoElsewhere(ctx, t.address, peer.LaneCalls, MethodAsk, in, &out)

	return out, err
}
