package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Peer methods that a gate serves to owners of keys.
const (
	MethodEpoch = "Once.Epoch"
	MethodClose = "Once.Close"
)

// Epoch is the reply to MethodEpoch.
type Epoch struct {
	Epoch string `msgpack:"Epoch"`
}

// Closed is the reply to MethodClose; it reports whether the attempt was closed before it started.
type Closed struct {
	Closed bool `msgpack:"Closed"`
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

type runKey struct{}

// guard sends the attempts of keyed calls with attempt tickets, one at a time, and sends none after
// an ambiguous one.
type guard struct {
	home *Home
	next Peers

	mu     sync.Mutex
	epochs map[string]string // epochs of gates by address
}

// Guard wraps peers so that each attempt of a keyed call starts at most once.
func (h *Home) Guard(next Peers) Peers {
	return &guard{home: h, next: next, epochs: map[string]string{}}
}

// Do sends the message. It adds tickets only to attempts of calls that this process runs.
func (g *guard) Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error {
	run, keyed := ctx.Value(runKey{}).(*attempt.Run)
	if !keyed || method != gate.MethodRun {
		return g.next.Do(ctx, address, lane, method, in, out)
	}

	reply := out.(*gate.Reply)
	c := in.(call.Call)

	for range 2 { // retries once with the new epoch of a gate that was restarted or reset
		if !run.Begin() {
			reply.Refusal = call.Refuse(ErrAmbiguous, call.RanUnknown, time.Second)

			return nil
		}

		ran := g.attempt(ctx, address, lane, c, reply)
		run.End(ran)

		if reply.Refusal == nil || !errors.Is(reply.Refusal, attempt.ErrEpoch) {
			return nil
		}

		g.forgetEpoch(address)
	}

	return nil
}

// attempt sends one attempt, fills in the reply and reports whether a backend server may have run
// the call.
func (g *guard) attempt(ctx context.Context, address string, lane peer.Lane, c call.Call, reply *gate.Reply) call.Ran {
	epoch, err := g.epoch(ctx, address)
	if err != nil {
		*reply = gate.Reply{Refusal: call.Refuse(err, call.RanNo, time.Second)}

		return call.RanNo
	}

	t := g.home.sequence.Next(epoch)
	defer g.home.sequence.End(t)

	*reply = gate.Reply{}

	err = g.next.Do(ctx, address, lane, gate.MethodRun, c.WithTicket(t), reply)
	if err == nil && reply.Refusal != nil {
		return reply.Refusal.Ran
	}

	if err == nil {
		return call.RanYes
	}

	ran := call.RanNo
	if !g.neverSent(err) && !g.close(ctx, address, t) {
		ran = call.RanUnknown

		g.home.options.Recorder.Record(event.KeyAttemptLost, timeline.Entry{
			Call: c.ID, Key: c.Key, Peer: address, Detail: err.Error(),
		})
	}

	*reply = gate.Reply{Refusal: call.Refuse(err, ran, time.Second)}

	return ran
}

// neverSent reports whether the error shows that no part of the message left this process.
func (g *guard) neverSent(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrFrameTooLarge) || errors.Is(err, peer.ErrOverloaded)
}

// closeRetryDelay is the pause before a request to close an attempt is retried.
const closeRetryDelay = 20 * time.Millisecond

// close asks the gate never to start the attempt. A lost attempt counts as not-run only after the
// gate confirms this, since the message may still be buffered by a stalled gate process.
//
// The request is retried until the timeout: the failure that broke the connection of the attempt
// often breaks the connection of the request too, while new connections work. Without a retry the
// outcome would be unknown although the gate is reachable.
func (g *guard) close(ctx context.Context, address string, t call.Ticket) bool {
	ctx, cancel := context.WithTimeout(membudget.Detach(ctx), g.home.options.CloseTimeout)
	defer cancel()

	for ctx.Err() == nil {
		var out Closed

		if g.next.Do(ctx, address, peer.LaneControl, MethodClose, t, &out) == nil {
			return out.Closed
		}

		idle.For(ctx, closeRetryDelay)
	}

	return false
}

func (g *guard) epoch(ctx context.Context, address string) (string, error) {
	g.mu.Lock()
	known := g.epochs[address]
	g.mu.Unlock()

	if known != "" {
		return known, nil
	}

	var out Epoch
	if err := g.next.Do(ctx, address, peer.LaneControl, MethodEpoch, struct{}{}, &out); err != nil {
		return "", err
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.epochs[address] = out.Epoch

	return out.Epoch, nil
}

func (g *guard) forgetEpoch(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.epochs, address)
}
