package attempt_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/attempt"
)

// An attempt that arrives late must not start: its owner has closed it, or has finished it and the
// gate has dropped its state.
func TestAttemptIsNotStartedAfterCloseOrEnd(t *testing.T) {
	r := attempt.NewRegister("gate", 100)
	s := attempt.NewSequence("home")

	first, second := s.Next(r.Epoch()), s.Next(r.Epoch())
	assert.Assert(t, r.Close(first))
	assert.ErrorIs(t, r.Start(first), attempt.ErrClosed)

	assert.NilError(t, r.Start(second))
	assert.ErrorIs(t, r.Start(second), attempt.ErrRepeated)
	assert.Assert(t, !r.Close(second), "an attempt that was started cannot be closed")

	s.End(first)
	s.End(second)

	third := s.Next(r.Epoch())
	assert.NilError(t, r.Start(third))
	assert.ErrorIs(t, r.Start(first), attempt.ErrLate)
	assert.Assert(t, !r.Close(second), "the gate has dropped the state of the attempt")
}

// A restarted gate has no state of earlier attempts. It must reject tickets of its previous boot
// and must not report them as closed, since they may have run.
func TestRestartedGateRejectsOldTickets(t *testing.T) {
	s := attempt.NewSequence("home")
	ticket := s.Next(attempt.NewRegister("gate-1", 100).Epoch())
	next := attempt.NewRegister("gate-2", 100)

	assert.ErrorIs(t, next.Start(ticket), attempt.ErrEpoch)
	assert.Assert(t, !next.Close(ticket))
}

// The memory of a gate is bounded by the attempts in flight. A busy owner leaves no state behind.
// Thousands of idle owners fill the register, which then starts a new epoch and rejects outstanding
// tickets as not run.
func TestRegisterSizeIsBounded(t *testing.T) {
	r := attempt.NewRegister("gate", 100)
	s := attempt.NewSequence("home")
	epoch := r.Epoch()

	for range 10_000 {
		ticket := s.Next(epoch)
		assert.NilError(t, r.Start(ticket))
		s.End(ticket)
	}

	assert.Equal(t, r.Epoch(), epoch)

	late := s.Next(epoch)

	for n := range 200 {
		ticket := call.Ticket{Home: string(rune(1000 + n)), Number: 1, Low: 1, Epoch: r.Epoch()}
		_ = r.Start(ticket)
	}

	assert.Assert(t, r.Epoch() != epoch)
	assert.ErrorIs(t, r.Start(late), attempt.ErrEpoch)
}

// While an attempt is in flight, or after one whose outcome is unknown, no other may start,
// whatever the retry filters request.
func TestNoAttemptAfterAnAmbiguousOne(t *testing.T) {
	var r attempt.Run

	assert.Assert(t, r.Begin())
	assert.Assert(t, !r.Begin(), "an attempt is in flight")
	r.End(call.RanNo)
	assert.Assert(t, r.Begin())
	r.End(call.RanUnknown)
	assert.Assert(t, !r.Begin())
	assert.Assert(t, r.Finish())

	var none attempt.Run

	assert.Assert(t, !none.Finish())
	assert.Assert(t, !none.Begin(), "the run has finished")
}

func BenchmarkTicket(b *testing.B) {
	r := attempt.NewRegister("gate", 1000)
	s := attempt.NewSequence("home")
	epoch := r.Epoch()

	b.ReportAllocs()

	for b.Loop() {
		ticket := s.Next(epoch)
		if err := r.Start(ticket); err != nil {
			b.Fatal(err)
		}

		s.End(ticket)
	}
}
