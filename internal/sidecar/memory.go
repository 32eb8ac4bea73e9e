package sidecar

import (
	"fmt"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/loglimit"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
)

// memoryLines bounds the lines about clients for whom there is no memory.
type memoryLines struct {
	evicted, refused, dropped loglimit.Limiter
}

// initBudget creates the budget for the memory of clients and other nodes.
func (n *Sidecar) initBudget() {
	n.memory = membudget.New(membudget.SizeFor(n.config.MemoryBytes()))
	n.memory.OnClosed(n.recordEvicted)

	for _, g := range n.memory.Gauges() {
		n.meter.Gauge(g.Name, g.Help, g.Value)
	}
}

func (n *Sidecar) recordEvicted(c membudget.Closed) {
	if leftOut, ok := n.lines.evicted.Next(time.Now()); ok {
		n.recorder.Record(event.ConnectionEvicted, timeline.Entry{Peer: c.Client, Detail: fmt.Sprintf(
			"%s, budget %s, without a line before %d", c, n.memory.Usage(), leftOut)})
	}
}

// recordRefused records a call of a client, or of another node, that was refused for lack of memory.
func (n *Sidecar) recordRefused(client string) {
	if leftOut, ok := n.lines.refused.Next(time.Now()); ok {
		n.recorder.Record(event.MemoryRefused, timeline.Entry{Peer: client, Detail: fmt.Sprintf(
			"budget %s, without a line before %d", n.memory.Usage(), leftOut)})
	}
}

// recordAnswerDropped records an answer of another node that was dropped for lack of memory.
func (n *Sidecar) recordAnswerDropped(address, method string) {
	n.meter.AnswerDropped()

	if leftOut, ok := n.lines.dropped.Next(time.Now()); ok {
		n.recorder.Record(event.AnswerDropped, timeline.Entry{Peer: address, Detail: fmt.Sprintf(
			"answer to %s, budget %s, without a line before %d", method, n.memory.Usage(), leftOut)})
	}
}
