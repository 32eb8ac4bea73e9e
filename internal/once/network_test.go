package once_test

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/gate"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/shard"
	"github.com/pollencart/pollencart/internal/peer"
)

// Do implements once.Peers over the in-memory network.
func (p *proc) Do(ctx context.Context, to string, _ peer.Lane, method string, in, out any) error {
	<-p.running()

	if p.ended() {
		<-ctx.Done() // a terminated process does nothing more

		return peer.ErrBroken
	}

	target := -1

	for i := range nodes {
		if address(i) == to {
			target = i
		}
	}

	if p.w.cut(p.index, target) {
		return peer.ErrUnreachable
	}

	body, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}

	answer := make(chan []byte, 1)
	remaining, _ := ctx.Deadline()

	go p.w.carry(ctx, p, target, method, body, time.Until(remaining), answer)

	// The connection may break while the message is in transit.
	broken := make(<-chan time.Time)
	if p.w.chance(15) {
		broken = time.After(p.w.delay())
	}

	select {
	case data := <-answer:
		return peer.Decode(data, out)
	case <-broken:
	case <-ctx.Done():
	}

	return peer.ErrBroken
}

// carry delivers a message to the process that runs on the target node at the time of arrival, and
// carries the reply back.
func (w *world) carry(ctx context.Context, from *proc, to int, method string, body []byte, remaining time.Duration, answer chan<- []byte) {
	time.Sleep(w.delay())

	target := w.proc(to)
	<-target.running()

	if w.chance(5) || w.cut(from.index, to) || target.ended() {
		return
	}

	handling, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(remaining, time.Millisecond))
	defer cancel()

	if !w.chance(50) { // otherwise the cancellation is lost
		stop := context.AfterFunc(ctx, cancel)
		defer stop()
	}

	v, err := target.handle(handling, method, body)
	if err != nil {
		return
	}

	data, err := msgpack.Marshal(v)
	if err != nil {
		return
	}

	time.Sleep(w.delay())
	<-target.running()
	<-from.running()

	if !w.chance(5) && !w.cut(from.index, to) && !target.ended() {
		answer <- data
	}
}

func (p *proc) handle(ctx context.Context, method string, body []byte) (any, error) {
	switch method {
	case gate.MethodRun:
		return typed(ctx, body, p.gate.Serve)
	case frontend.MethodOnce:
		return typed(ctx, body, func(ctx context.Context, c call.Call) (gate.Reply, error) {
			c.Key = p.mutate(c.Key)

			return p.entry.ServeOnce(ctx, c)
		})
	case once.MethodAdopt:
		return typed(ctx, body, p.home.ServeAdopt(p.keeper))
	case shard.MethodPush:
		return typed(ctx, body, p.keeper.ServePush)
	case shard.MethodPull:
		return typed(ctx, body, p.keeper.Serve)
	case once.MethodEpoch:
		return once.Epoch{Epoch: p.register.Epoch()}, nil
	case once.MethodClose:
		return typed(ctx, body, func(_ context.Context, t call.Ticket) (once.Closed, error) {
			return once.Closed{Closed: p.w.mutant.noClose || p.register.Close(t)}, nil
		})
	}

	return nil, peer.ErrNoMethod
}

func typed[In, Out any](ctx context.Context, body []byte, f func(context.Context, In) (Out, error)) (any, error) {
	return peer.Typed(f)(ctx, body)
}

// Run implements gate.Runner as a simulated backend server.
func (p *proc) Run(ctx context.Context, c call.Call) (call.Answer, error) {
	if p.w.chance(20) {
		return call.Answer{}, call.Refuse(errors.New("connection refused"), call.RanNo, time.Second)
	}

	time.Sleep(p.w.delay() / 8) // in transit; a cancellation has no effect

	p.w.mu.Lock()
	p.w.ran[tokenOf(c.Key)]++
	p.w.mu.Unlock()

	select {
	case <-time.After(p.w.delay()):
	case <-ctx.Done():
		return call.Answer{}, call.Refuse(ctx.Err(), call.RanUnknown, time.Second)
	}

	if p.w.chance(10) {
		return call.Answer{}, call.Refuse(errors.New("crashed"), call.RanUnknown, time.Second)
	}

	return call.Answer{Status: http.StatusOK, Body: []byte(tokenOf(c.Key)), Ran: call.RanYes}, nil
}
