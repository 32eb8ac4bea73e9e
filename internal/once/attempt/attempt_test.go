package attempt_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/once/attempt"
)

// The attempt of an enrolment is delivered late: its home has closed it, or has
// gone on so far that it no longer remembers it.
func TestALateAttemptIsNotStarted(t *testing.T) {
	r := attempt.NewRegister("gate", 100)
	s := attempt.NewSequence("home")

	first, second := s.Next(r.Epoch()), s.Next(r.Epoch())
	assert.Assert(t, r.Close(first))
	assert.ErrorIs(t, r.Start(first), attempt.ErrClosed)

	assert.NilError(t, r.Start(second))
	assert.ErrorIs(t, r.Start(second), attempt.ErrRepeated)
	assert.Assert(t, !r.Close(second), "it was started")

	s.End(first)
	s.End(second)

	third := s.Next(r.Epoch())
	assert.NilError(t, r.Start(third))
	assert.ErrorIs(t, r.Start(first), attempt.ErrLate)
	assert.Assert(t, !r.Close(second), "the gate can't know any more")
}

// A gate that was replaced has no memory. What was meant for the one before is
// refused, and nothing is said of it.
func TestAnotherLifeOfTheGateStartsNothingOld(t *testing.T) {
	s := attempt.NewSequence("home")
	ticket := s.Next(attempt.NewRegister("gate-1", 100).Epoch())
	next := attempt.NewRegister("gate-2", 100)

	assert.ErrorIs(t, next.Start(ticket), attempt.ErrEpoch)
	assert.Assert(t, !next.Close(ticket))
}

// The memory of a gate is what homes have under way. A home that goes on and on
// leaves nothing behind; thousands of homes that went idle make a new epoch,
// which refuses what is under way as not run.
func TestTheRegisterIsBounded(t *testing.T) {
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

// After an attempt of which nobody knows whether it ran, or while one is out,
// there is no other, whatever the pipe of filters would like.
func TestNoAttemptAfterAnAmbiguousOne(t *testing.T) {
	var r attempt.Run

	assert.Assert(t, r.Begin())
	assert.Assert(t, !r.Begin(), "one is out")
	r.End(call.RanNo)
	assert.Assert(t, r.Begin())
	r.End(call.RanUnknown)
	assert.Assert(t, !r.Begin())
	assert.Assert(t, r.Finish())

	var none attempt.Run

	assert.Assert(t, !none.Finish())
	assert.Assert(t, !none.Begin(), "it has ended")
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
