package announce_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/announce"
	"github.com/pollencart/pollencart/internal/backend"
	"github.com/pollencart/pollencart/internal/timeline"
)

// keeper stands for what outlives a process.
type keeper struct {
	mu   sync.Mutex
	kept map[string]int64
	away bool
}

func (k *keeper) Keep(_ context.Context, instance string, started int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.away {
		return errors.New("away")
	}

	k.kept[instance] = started

	return nil
}

func (k *keeper) Departed(_ context.Context, instance string, started int64) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.away {
		return false, errors.New("away")
	}

	last, ok := k.kept[instance]

	return ok && started <= last, nil
}

func (k *keeper) set(away bool) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.away = away
}

// world is a host with the backend server that runs there.
type world struct {
	keeper  *keeper
	running string
	healthy bool
	slots   int // as it tells when it is asked for its health
}

func newWorld() *world {
	return &world{keeper: &keeper{kept: map[string]int64{}}, running: "i-1", healthy: true}
}

// process starts the node's process.
func (w *world) process() *announce.Host {
	return announce.New(announce.WithKeeper(w.keeper), announce.Probe(func(context.Context) backend.Health {
		return backend.Health{Instance: w.running, Healthy: w.healthy, Slots: w.slots}
	}))
}

func beat(instance string, sequence uint64) announce.Heartbeat {
	return announce.Heartbeat{Instance: instance, Service: "browse", Slots: 9, Sequence: sequence}
}

func leave(sequence uint64) announce.Heartbeat {
	b := beat("i-1", sequence)
	b.Leaving = true

	return b
}

func heard(t *testing.T, h *announce.Host, b announce.Heartbeat) {
	t.Helper()
	assert.NilError(t, h.Heard(context.Background(), b))
	synctest.Wait()
}

// A heartbeat that was sent before the backend server said that it leaves arrives
// after. Taken at its word it would bring back a backend server that is about to end.
func TestALateHeartbeatDoesNotBringBackWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, beat("i-1", 1))
		assert.Assert(t, h.State().Takes)
		heard(t, h, leave(3))
		assert.Assert(t, !h.State().Takes)
		heard(t, h, beat("i-1", 2))
		heard(t, h, beat("i-1", 4))
		assert.Assert(t, !h.State().Takes)
	})
}

// The process that confirmed a leaving is killed in the next moment. The one that
// follows hears an old heartbeat and must be bound by the confirmation.
func TestAConfirmationBindsTheNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		h := w.process()
		heard(t, h, beat("i-1", 1))
		heard(t, h, leave(2))

		next := w.process()
		heard(t, next, beat("i-1", 1))
		assert.Assert(t, !next.State().Takes)
	})
}

// The node's process starts again beside a backend server that runs on. Until its next
// heartbeat nobody would use it, and callers would be turned away.
func TestABackendServerIsFoundBeforeItIsHeardOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.slots = 9
		h := w.process()
		h.Find(context.Background())
		assert.Equal(t, h.State(), announce.State{Instance: "i-1", Slots: 9, Takes: true, Cold: time.Now()})
		heard(t, h, beat("i-1", 7))
		assert.Assert(t, h.State().Takes)
	})
}

// The backend server that is found was confirmed to leave, or says that it is not well,
// or does not tell how many calls it takes. Its next heartbeat decides, if any.
func TestABackendServerThatIsNotTakenIntoUseWhenFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := newWorld()
		leaving.slots = 9
		heard(t, leaving.process(), leave(2))

		ill := newWorld()
		ill.slots, ill.healthy = 9, false

		for _, w := range []*world{leaving, ill, newWorld()} {
			h := w.process()
			h.Find(context.Background())
			assert.Assert(t, !h.State().Takes)
		}
	})
}

// Nothing can keep the leaving for now. It is not confirmed, though nothing is sent
// any more, and confirmed as soon as it is kept.
func TestALeavingThatIsNotKeptIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		h := w.process()
		heard(t, h, beat("i-1", 1))
		w.keeper.set(true)

		start := time.Now()
		err := h.Heard(context.Background(), leave(2))
		assert.ErrorIs(t, err, announce.ErrNotKept)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Assert(t, !h.State().Takes)

		w.keeper.set(false)
		assert.NilError(t, h.Heard(context.Background(), leave(3)))
	})
}

// A partition delays a heartbeat; meanwhile its sender crashed and another instance
// started at the same address.
func TestAHeartbeatOfAnEarlierInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.running = "i-2"
		h := w.process()
		heard(t, h, beat("i-2", 1))
		heard(t, h, beat("i-1", 7))
		assert.Equal(t, h.State().Instance, "i-2")
		assert.Assert(t, h.State().Takes)
	})
}

// The process is new, its backend server says that it is not healthy, and nobody can
// be asked whether it is leaving: nothing is sent to it until that is known.
func TestADoubtfulInstanceWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.healthy = false
		w.keeper.set(true)
		h := w.process()
		heard(t, h, beat("i-1", 1))
		assert.Assert(t, !h.State().Takes)

		w.keeper.set(false)
		heard(t, h, beat("i-1", 2))
		assert.Assert(t, h.State().Takes)
	})
}

// A backend server that ended at once is out of use until its next heartbeat.
func TestABackendServerThatIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, beat("i-1", 1))
		h.Down("i-1")
		assert.Assert(t, !h.State().Takes)
		heard(t, h, beat("i-1", 2))
		assert.Assert(t, h.State().Takes)
	})
}

// Some leave without having said that they will.
func TestLeavingWithoutNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, beat("i-1", 1))
		assert.NilError(t, h.Left(context.Background(), "i-1", 0))
		assert.Assert(t, !h.State().Takes)
		heard(t, h, beat("i-1", 2))
		assert.Assert(t, !h.State().Takes)
	})
}

// started is a heartbeat of a start of i-1.
func started(at int64, sequence uint64) announce.Heartbeat {
	b := beat("i-1", sequence)
	b.Started = at

	return b
}

// A backend server crashes and starts again under the name that it had. Its heartbeats
// count from one again; taken for old ones, they would leave it unused for as long as
// the earlier start had run.
func TestABackendServerThatStartsAgainUnderItsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, started(100, 40))
		h.Down("i-1")
		heard(t, h, started(200, 1))
		assert.Assert(t, h.State().Takes)
		assert.Equal(t, h.State().Started, int64(200))
	})
}

// The backend server was confirmed to leave, and starts again under the same name. The
// promise was about the start that left; kept for the name, it would have this process
// and the next one never use it.
func TestALeavingBelongsToOneStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		h := w.process()
		heard(t, h, started(100, 1))

		leaving := started(100, 2)
		leaving.Leaving = true
		heard(t, h, leaving)
		assert.Assert(t, !h.State().Takes)

		heard(t, h, started(200, 1))
		assert.Assert(t, h.State().Takes)

		next := w.process()
		heard(t, next, started(100, 3))
		assert.Assert(t, !next.State().Takes)
		heard(t, next, started(200, 2))
		assert.Assert(t, next.State().Takes)
	})
}

// A partition delays what the earlier start said: a heartbeat with a high sequence, and
// its leaving. The start that runs now would be taken out of use by it, or known by the
// wrong start.
func TestWordsOfTheEarlierStartComeLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		h := w.process()
		heard(t, h, started(200, 1))
		heard(t, h, started(100, 90))
		assert.Equal(t, h.State().Started, int64(200))

		leaving := started(100, 91)
		leaving.Leaving = true
		assert.ErrorIs(t, h.Heard(context.Background(), leaving), announce.ErrForeign)
		assert.ErrorIs(t, h.Left(context.Background(), "i-1", 100), announce.ErrForeign)
		assert.Assert(t, h.State().Takes)
		assert.Equal(t, len(w.keeper.kept), 0) // nobody is left to be bound by it
	})
}

// A backend server that does not tell its start says that it leaves. That is about the
// start that runs: calls sent to it after the confirmation would be cut off.
func TestALeavingWithoutAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, started(200, 5))
		assert.NilError(t, h.Left(context.Background(), "i-1", 0))
		assert.Assert(t, !h.State().Takes)
		heard(t, h, started(200, 6))
		assert.Assert(t, !h.State().Takes)
	})
}

// A backend server that does not tell its start crashes and starts again under its name.
// Its sequence is low again; asked for its name it is found, and calls reach it.
func TestAStartThatIsNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newWorld().process()
		heard(t, h, beat("i-1", 40))
		h.Down("i-1")
		heard(t, h, beat("i-1", 1))
		assert.Assert(t, h.State().Takes)
	})
}

// Somebody sends heartbeats of another service to this host. They name nobody to use,
// and are told once however often they come.
func TestAHeartbeatOfAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := timeline.New()
		w := newWorld()
		h := announce.New(announce.WithKeeper(w.keeper), announce.Service("ledger"), announce.Recorder(recorder),
			announce.Probe(func(context.Context) backend.Health { return backend.Health{Instance: "i-1", Healthy: true} }))

		for sequence := range uint64(5) {
			assert.ErrorIs(t, h.Heard(context.Background(), beat("i-1", sequence)), announce.ErrForeign)
		}

		assert.Assert(t, !h.State().Takes)
		assert.Equal(t, len(recorder.Entries(timeline.Filter{})), 1)
	})
}
