package node

import (
	"context"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/caller"
	"github.com/pollencart/pollencart/internal/once"
	"github.com/pollencart/pollencart/internal/once/attempt"
	"github.com/pollencart/pollencart/internal/peer"
)

// once makes what keeps a call from running twice.
func (n *Node) once() {
	n.home = once.New(n.config.ID, n.table.Self().Incarnation, once.Recorder(n.recorder))
	n.register = attempt.NewRegister(n.home.Life(), attempt.DefaultBound)
}

// onceMethods adds what homes ask of gates and entries of homes.
func (n *Node) onceMethods() {
	n.server.Handle(caller.MethodOnce, peer.Typed(n.entry.ServeOnce))
	n.server.Handle(once.MethodEpoch, peer.Typed(func(context.Context, nothing) (once.Epoch, error) {
		return once.Epoch{Epoch: n.register.Epoch()}, nil
	}))
	n.server.Handle(once.MethodClose, peer.Typed(func(_ context.Context, t call.Ticket) (once.Closed, error) {
		return once.Closed{Closed: n.register.Close(t)}, nil
	}))
}
