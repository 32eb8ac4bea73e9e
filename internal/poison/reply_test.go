package poison_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/poison"
	"github.com/pollencart/pollencart/internal/timeline"
)

// slowLog takes long to write the line that a gate was notified at last, and reports that it began.
type slowLog struct {
	slog.Handler

	began chan struct{}
}

func (l slowLog) Enabled(context.Context, slog.Level) bool { return true }

func (l slowLog) Handle(_ context.Context, r slog.Record) error {
	if r.Message == event.PoisonTold.Name {
		close(l.began)
		time.Sleep(50 * time.Millisecond)
	}

	return nil
}

// A gate must not count as notified before the crashes in its reply are known, or a permit is granted
// for a request that has ended two backend servers.
func TestGateCountsAsNotifiedOnceItsReplyIsMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, "a", "b", "c")
		log := slowLog{slog.DiscardHandler, make(chan struct{})}
		m.gates["a"].startWith(timeline.Logger(slog.New(log)))
		m.finish("a", "/folders/first")

		m.isolate("b", true)
		m.sendInOrder("a", "b")
		m.cut("a", "b", false)

		<-log.began
		m.sendInOrder("c")
		time.Sleep(time.Second)
		m.assertAtMostTwo()
	})
}

// startWith starts the gate again with options of its timeline.
func (g *gate) startWith(o ...timeline.Option) {
	g.mesh.mu.Lock()
	defer g.mesh.mu.Unlock()

	g.stop()

	ctx, cancel := context.WithCancel(g.mesh.t.Context())
	g.stop = cancel
	g.boots++
	self := poison.Self{Node: g.id, Incarnation: uint64(g.boots), BootID: fmt.Sprintf("%s#%d", g.id, g.boots), Address: g.id}
	g.watch = poison.NewWatch(self, g, g, timeline.New(o...)).WithStallDetector(&g.stalls)

	go g.watch.Run(ctx)
}
