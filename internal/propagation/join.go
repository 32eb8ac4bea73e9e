package propagation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

// asked is how many nodes a fresh process asks before it takes a version. One
// may have been cut off and hold an old version; that several at random all are
// is unlikely, and gossip mends it.
const asked = 3

// Pauses between the rounds of a fresh process.
const (
	firstRound = 100 * time.Millisecond
	lastRound  = 2 * time.Second
)

// join brings a fresh process to the newest version that it can reach, before it
// watches the platform. A herd of restarts that went to the platform first would
// take its rates from the operators who are trying to mend things.
func (s *Spreader) join(ctx context.Context) {
	pause := firstRound

	for ctx.Err() == nil && s.holder.Number() == 0 {
		best, answered := s.ask(ctx)
		if best.number > 0 && s.pull(ctx, best.address) == nil {
			return
		}

		// Nobody has a version to give, or nobody answers: if this node is to
		// watch, the platform is left.
		if (answered > 0 || pause > firstRound) && best.number == 0 && s.options.Watching() {
			return
		}

		idle.For(ctx, jitter(pause))
		pause = min(2*pause, lastRound)
	}
}

// ask returns the newest version among some nodes and how many answered.
func (s *Spreader) ask(ctx context.Context) (best source, answered int) {
	others := s.options.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)

	for _, address := range others[:min(asked, len(others))] {
		wg.Go(func() {
			var n Number
			if s.do(ctx, address, MethodNumber, struct{}{}, &n) != nil {
				return
			}

			mu.Lock()
			defer mu.Unlock()

			answered++

			if n.Number > best.number {
				best = source{n.Number, address}
			}
		})
	}

	wg.Wait()

	return best, answered
}
