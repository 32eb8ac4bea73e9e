package sidecar

import (
	"fmt"
	"strings"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/loglimit"
	"github.com/pollencart/pollencart/internal/membudget"
	"github.com/pollencart/pollencart/internal/timeline"
)

// memoryLines bounds the lines about clients for whom there is no memory.
type memoryLines struct {
	evicted, refused loglimit.Limiter
}

// initBudget creates the budget for the memory of clients and other nodes.
func (n *Sidecar) initBudget() {
	n.memory = membudget.New(membudget.SizeFor(n.config.MemoryBytes()))
	n.memory.OnClosed(n.recordEvicted)
}

func (n *Sidecar) recordEvicted(c membudget.Closed) {
	if leftOut, ok := n.lines.evicted.Next(time.Now()); ok {
		n.recorder.Record(event.ConnectionEvicted, timeline.Entry{Peer: c.Client, Detail: fmt.Sprintf(
			"held %d bytes, moved %d a second, waited for %s, budget %s, without a line before %d",
			c.Held, c.Pace, c.Waited.Round(time.Millisecond), n.describeMemory(), leftOut)})
	}
}

func (n *Sidecar) recordRefused(client string) {
	if leftOut, ok := n.lines.refused.Next(time.Now()); ok {
		n.recorder.Record(event.MemoryRefused, timeline.Entry{Peer: client, Detail: fmt.Sprintf(
			"budget %s, without a line before %d", n.describeMemory(), leftOut)})
	}
}

// describeMemory returns how much of the budget is used by what.
func (n *Sidecar) describeMemory() string {
	u := n.memory.Usage()
	text := fmt.Sprintf("%d of %d", u.Held, u.Size)

	for _, p := range membudget.Parts() {
		text += fmt.Sprintf(" %s %d", strings.ToLower(p.String()), u.ByPart[p])
	}

	return text
}

func (n *Sidecar) registerMemoryGauges() {
	n.meter.Gauge("pollencart_memory_budget_bytes", "Bytes that clients and other nodes may make this process keep.", func() float64 {
		return float64(n.memory.Usage().Size)
	})
	n.meter.Gauge("pollencart_memory_evicted", "Connections closed since others needed their memory.", func() float64 {
		return float64(n.memory.Usage().Closed)
	})
	n.meter.Gauge("pollencart_memory_refused", "Takings of memory that were refused.", func() float64 {
		return float64(n.memory.Usage().Refused)
	})

	for _, p := range membudget.Parts() {
		n.meter.Gauge("pollencart_memory_"+strings.ToLower(p.String())+"_bytes", "Bytes of the budget used by "+strings.ToLower(p.String())+".",
			func() float64 { return float64(n.memory.Usage().ByPart[p]) })
	}
}
