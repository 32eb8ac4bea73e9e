package tombstone_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/tombstone"
)

// countingFleet counts the messages that a node sends.
type countingFleet struct {
	fleet

	sent atomic.Int64
}

func (c *countingFleet) Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error {
	c.sent.Add(1)

	return c.fleet.Do(ctx, address, lane, method, in, out)
}

// Guards against copies on other nodes whose message count grows with the fleet or that
// delay a confirmation.
func TestCopiesOnNodesCostFewMessagesAndNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, count := range []int{1, 2, 8, 85, 295} {
			s := &store{keys: map[string][]byte{}}
			c := &countingFleet{fleet: fleet{newFleet(s, count), "a"}}
			d := tombstone.New(s, c, c)
			began := time.Now()

			assert.NilError(t, d.Keep(t.Context(), "i-1", 100))
			assert.Equal(t, time.Since(began), time.Duration(0))
			synctest.Wait()
			assert.Assert(t, c.sent.Load() <= 6, "%d messages among %d nodes", c.sent.Load(), count)
		}
	})
}

// silentFleet accepts messages and never replies.
type silentFleet struct{ fleet }

func (silentFleet) Do(ctx context.Context, _ string, _ peer.Lane, _ string, _, _ any) error {
	<-ctx.Done()

	return ctx.Err()
}

// Guards against a departure that the store holds but that is confirmed late or not at all
// because other nodes do not reply.
func TestKeepSucceedsWhileNoOtherNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 400 * time.Millisecond // half of the time limit for a confirmation

		s := &store{keys: map[string][]byte{}}
		cut := silentFleet{fleet{newFleet(s, 8), "a"}}
		began := time.Now()

		assert.NilError(t, tombstone.New(s, cut, cut).Keep(t.Context(), "i-1", 100))
		assert.Assert(t, time.Since(began) <= limit, time.Since(began))
	})
}

// Guards against an epoch change after which all hosts of a large fleet write at once, or
// hosts without a record write at all.
func TestEpochChangeSpreadsWritesOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts      = 295
			mostWrites = hosts * 3 / 4 // per second, while all backend servers are draining
		)

		s := &store{keys: map[string][]byte{}}
		older := s.snapshot()

		var fleet []process

		for i := range 2 * hosts {
			p := startProcess(t, s, noNodes())
			fleet = append(fleet, p)

			if i < hosts {
				assert.NilError(t, p.Keep(t.Context(), "i-"+strconv.Itoa(i), 100))
			}
		}

		s.restore(older)

		for _, p := range fleet {
			p.epoch.Observe(2)
		}

		for second := range 3 {
			before := s.writeCount()
			time.Sleep(time.Second)
			t.Logf("%d writes in second %d", s.writeCount()-before, second)
			assert.Assert(t, s.writeCount()-before <= mostWrites, "%d writes", s.writeCount()-before)
		}

		assert.Equal(t, s.writeCount(), 2*hosts)
	})
}
