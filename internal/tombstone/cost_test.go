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

// counted counts the messages of a node.
type counted struct {
	fleet

	sent atomic.Int64
}

func (c *counted) Do(ctx context.Context, address string, lane peer.Lane, method string, in, out any) error {
	c.sent.Add(1)

	return c.fleet.Do(ctx, address, lane, method, in, out)
}

// Copies beside the store make messages that grow with the fleet, or hold up a confirmation.
func TestACopyBesideTheStoreCostsFewMessagesAndLittleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, count := range []int{1, 2, 8, 85, 295} {
			s := &store{keys: map[string][]byte{}}
			c := &counted{fleet: fleet{newFleet(s, count), "a"}}
			d := tombstone.New(s, c, c)
			began := time.Now()

			assert.NilError(t, d.Keep(t.Context(), "i-1", 100))
			assert.Equal(t, time.Since(began), time.Duration(0))
			synctest.Wait()
			assert.Assert(t, c.sent.Load() <= 6, "%d messages among %d nodes", c.sent.Load(), count)
		}
	})
}

// silent takes messages and answers none.
type silent struct{ fleet }

func (silent) Do(ctx context.Context, _ string, _ peer.Lane, _ string, _, _ any) error {
	<-ctx.Done()

	return ctx.Err()
}

// A node that others do not answer can't confirm a leaving that the store holds, or only late.
func TestALeavingIsKeptWhileNoOtherNodeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const soon = 400 * time.Millisecond // half of what a confirmation may take

		s := &store{keys: map[string][]byte{}}
		cut := silent{fleet{newFleet(s, 8), "a"}}
		began := time.Now()

		assert.NilError(t, tombstone.New(s, cut, cut).Keep(t.Context(), "i-1", 100))
		assert.Assert(t, time.Since(began) <= soon, time.Since(began))
	})
}

// A change of the epoch that has every host of a large fleet write at once, or those without a leaving.
func TestAChangeOfTheEpochBringsFewWritesOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			hosts      = 295
			mostWrites = hosts * 3 / 4 // in a second, while all backend servers leave
		)

		s := &store{keys: map[string][]byte{}}
		older := s.copied()

		var fleet []process

		for i := range 2 * hosts {
			p := run(t, s, alone())
			fleet = append(fleet, p)

			if i < hosts {
				assert.NilError(t, p.Keep(t.Context(), "i-"+strconv.Itoa(i), 100))
			}
		}

		s.back(older)

		for _, p := range fleet {
			p.epoch.Observe(2)
		}

		for second := range 3 {
			before := s.written()
			time.Sleep(time.Second)
			t.Logf("%d writes in second %d", s.written()-before, second)
			assert.Assert(t, s.written()-before <= mostWrites, "%d writes", s.written()-before)
		}

		assert.Equal(t, s.written(), 2*hosts)
	})
}
