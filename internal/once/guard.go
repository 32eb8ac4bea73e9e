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
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Methods that a gate serves to homes.
const (
	MethodEpoch = "Once.Epoch"
	MethodClose = "Once.Close"
)

// Epoch is a gate's answer to MethodEpoch.
type Epoch struct {
	Epoch string `msgpack:"Epoch"`
}

// Closed is a gate's answer to MethodClose.
type Closed struct {
	Closed bool `msgpack:"Closed"`
}

// Peers sends messages to other nodes.
type Peers interface {
	Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error
}

type runKey struct{}

// guard sends the attempts of keyed calls with tickets, one after the other, and
// none after an ambiguous one.
type guard struct {
	home *Home
	next Peers

	mu     sync.Mutex
	epochs map[string]string // of gates, by address
}

// Guard returns peers through which attempts of keyed calls are at most once.
func (h *Home) Guard(next Peers) Peers {
	return &guard{home: h, next: next, epochs: map[string]string{}}
}

// Do sends the message; only attempts of calls that this home runs are changed.
func (g *guard) Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error {
	run, keyed := ctx.Value(runKey{}).(*attempt.Run)
	if !keyed || method != gate.MethodRun {
		return g.next.Do(ctx, address, lane, method, in, out)
	}

	reply := out.(*gate.Reply)
	c := in.(call.Call)

	for range 2 { // the second time with the epoch of a gate that started afresh
		if !run.Begin() {
			reply.Refusal = call.Refuse(ErrAmbiguous, call.RanUnknown, time.Second)

			return nil
		}

		ran := g.attempt(ctx, address, lane, c, reply)
		run.End(ran)

		if reply.Refusal == nil || !errors.Is(reply.Refusal, attempt.ErrEpoch) {
			return nil
		}

		g.forget(address)
	}

	return nil
}

// attempt sends one attempt and says whether a backend server may have run it.
// The reply is filled in any case.
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
	if !g.surelyNot(err) && !g.close(ctx, address, t) {
		ran = call.RanUnknown

		g.home.options.Recorder.Record(event.KeyAttemptLost, timeline.Entry{
			Call: c.ID, Key: c.Key, Peer: address, Detail: err.Error(),
		})
	}

	*reply = gate.Reply{Refusal: call.Refuse(err, ran, time.Second)}

	return ran
}

// surelyNot reports that nothing of the message left this process.
func (g *guard) surelyNot(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrFrameTooLarge)
}

// closeAgain is the pause before a gate is asked again to close an attempt.
const closeAgain = 20 * time.Millisecond

// close asks the gate to never start the attempt. Only its word makes not-run of
// a lost attempt: the attempt may wait in the buffer of a frozen process.
//
// What broke the attempt's connection often breaks the one that the question goes on, too,
// while new ones work. Asked once only, the caller would be told that nobody knows whether
// its upload ran, though the gate is there and can tell.
func (g *guard) close(ctx context.Context, address string, t call.Ticket) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.home.options.CloseTimeout)
	defer cancel()

	for ctx.Err() == nil {
		var out Closed

		if g.next.Do(ctx, address, peer.LaneControl, MethodClose, t, &out) == nil {
			return out.Closed
		}

		idle.For(ctx, closeAgain)
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

func (g *guard) forget(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.epochs, address)
}
