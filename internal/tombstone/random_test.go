package tombstone_test

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/tombstone"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the random drills")
	seeds     = flag.Uint64("seeds", 20, "number of seeds of the random drills")
)

// A confirmed leaving is forgotten in some order of drills, outages, kills and confirmations.
func TestNoConfirmedLeavingIsForgottenInRandomDrills(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { drills(t, rand.New(rand.NewPCG(seed, seed))) })
		})
	}
}

// rewritten is within what a store that answers has the records of all processes again.
const rewritten = 4 * time.Second

// drill is a node whose process is killed now and then, others, and a store that is away or
// comes back older.
type drill struct {
	store  *store
	older  map[string][]byte
	number uint64
	away   bool
	broken time.Time // when the store was away last, or came back older

	others    map[string]*tombstone.Departures
	restarted time.Time // all others, the last time
	process   process
	confirmed map[string]confirmation
}

type confirmation struct {
	at     time.Time
	stored bool // not with nodes alone
}

func newDrill(t *testing.T) *drill {
	t.Helper()

	s := &store{keys: map[string][]byte{}}
	d := &drill{store: s, older: s.copied(), number: 1, others: newFleet(s, 8), confirmed: map[string]confirmation{}}
	d.process = run(t, s, d.others)

	return d
}

func (d *drill) settle() {
	d.setAway(false)
	time.Sleep(rewritten)
	synctest.Wait()
}

func (d *drill) setAway(away bool) {
	d.away, d.broken = away, time.Now()
	d.store.setAway(away)
}

func (d *drill) keep(t *testing.T, id string) {
	t.Helper()

	if d.process.Keep(t.Context(), id, 100) == nil {
		d.confirmed[id] = confirmation{time.Now(), !d.away}
	}
}

func (d *drill) back() {
	d.number++
	d.away, d.broken = false, time.Now()
	d.store.back(d.older)
	d.process.epoch.Observe(d.number)
}

// kill ends the process while somebody else holds every record.
func (d *drill) kill(t *testing.T) {
	t.Helper()

	if !d.restarted.IsZero() {
		d.settle()
	}

	d.process.stop()
	d.process = run(t, d.store, d.others)
	d.process.epoch.Observe(d.number)
}

// restart ends all others once the store holds what it should.
func (d *drill) restart() {
	d.settle()

	for id := range d.others {
		f := fleet{d.others, id}
		d.others[id] = tombstone.New(d.store, f, f)
	}

	d.restarted = time.Now()
}

// check has the process, and one that would follow it now, tell of each confirmed leaving.
func (d *drill) check(t *testing.T, step int) {
	t.Helper()

	for id, c := range d.confirmed {
		lost := !c.stored && c.at.Before(d.restarted)
		if lost || time.Since(c.at) > time.Minute {
			delete(d.confirmed, id)

			continue
		}

		// It lies with this process alone for a moment.
		if c.at.After(d.restarted) || (!d.away && time.Since(d.broken) >= rewritten) {
			d.knows(t, tombstone.New(d.store, fleet{d.others, "a"}, fleet{d.others, "a"}), id, step)
		}

		d.knows(t, d.process.Departures, id, step)
	}
}

func (d *drill) knows(t *testing.T, process *tombstone.Departures, id string, step int) {
	t.Helper()

	gone, err := process.Departed(t.Context(), id, 100)
	assert.Assert(t, err != nil || gone, "%s in step %d", id, step)
	synctest.Wait()
}

// drills plays some steps.
func drills(t *testing.T, random *rand.Rand) {
	t.Helper()

	const steps = 60

	d := newDrill(t)

	for step := range steps {
		switch random.IntN(9) {
		case 0, 1, 2:
			d.keep(t, "i-"+strconv.Itoa(step))
		case 3:
			d.back()
		case 4:
			d.kill(t)
		case 5:
			d.setAway(random.IntN(2) == 0)
		case 6:
			d.older = d.store.copied()
		case 7:
			d.restart()
		case 8:
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}

		d.check(t, step)
	}
}
