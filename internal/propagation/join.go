package propagation

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
)

// joinPeers is how many nodes a new process contacts before it takes a version. A
// single node may have been cut off and have an old version; several random ones
// rarely all are, and gossip corrects that case.
const joinPeers = 3

// Limits of the pause between attempts of a new process.
const (
	minJoinPause = 100 * time.Millisecond
	maxJoinPause = 2 * time.Second
)

// join pulls the newest version that a new process can find at its peers before the
// process watches the platform. If all processes of a mass restart read from the
// platform first, they would use up the rate limit that operators need for repairs.
func (s *Propagator) join(ctx context.Context) {
	pause := minJoinPause

	for ctx.Err() == nil && s.holder.Number() == 0 {
		best, answered := s.newestPeerVersion(ctx)
		if best.number > 0 && s.pull(ctx, best.address) == nil {
			return
		}

		// No contacted node has a version, or none answered: a watcher falls back to
		// the platform.
		if (answered > 0 || pause > minJoinPause) && best.number == 0 && s.options.Watching() {
			return
		}

		idle.For(ctx, jitter(pause))
		pause = min(2*pause, maxJoinPause)
	}
}

// newestPeerVersion returns the newest version of a few random nodes and the number of
// nodes that answered.
func (s *Propagator) newestPeerVersion(ctx context.Context) (best source, answered int) {
	others := s.options.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })

	var (
		mu sync.Mutex
		wg sync.WaitGroup
	)

	for _, address := range others[:min(joinPeers, len(others))] {
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
