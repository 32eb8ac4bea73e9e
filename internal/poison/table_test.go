package poison_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/poison"
)

func request(uri, agent string) poison.Suspect {
	return poison.Of(call.Call{Method: "GET", URI: uri, Header: []call.Field{{Name: "User-Agent", Value: agent}}})
}

var (
	first  = poison.Crash{Gate: "a", Number: 1}
	second = poison.Crash{Gate: "b", Number: 1}
)

// The report of one crash reaches a gate three times, from the pull, the gate
// itself and a copy under way. Counted three times it would refuse a folder that
// was only open beside the broken one.
func TestACrashCountsOnce(t *testing.T) {
	table := poison.NewTable()
	s := request("/folders/1", "phone")

	for range 3 {
		table.Crashed(s, first)
	}

	v := table.Judge(s.Digest)
	assert.Assert(t, v.Suspected && !v.Refused)
	assert.Equal(t, v.Crash, first)

	table.Crashed(s, second)
	assert.Assert(t, table.Judge(s.Digest).Refused)
}

func TestARefusalEndsAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := poison.NewTable()
		s := request("/folders/1", "phone")
		table.Crashed(s, first)
		table.Crashed(s, second)

		time.Sleep(poison.Hold - time.Second)
		assert.Equal(t, table.Judge(s.Digest).Left, time.Second)

		time.Sleep(2 * time.Second)
		assert.Equal(t, table.Judge(s.Digest), poison.Verdict{})
	})
}

// The crash hangs on a header. Others who open the same folder without it finish
// well, and must not clear it.
func TestOnlyAnEqualRequestClearsASuspect(t *testing.T) {
	table := poison.NewTable()
	bad, good := request("/folders/1", "broken"), request("/folders/1", "phone")
	assert.Equal(t, bad.Digest, good.Digest)

	table.Crashed(bad, first)
	assert.Assert(t, !table.Finished(good))
	assert.Assert(t, table.Judge(bad.Digest).Suspected)

	assert.Assert(t, table.Finished(bad))
	assert.Assert(t, !table.Judge(bad.Digest).Suspected)
}

// A flood of crashes fills the table. What was refused stays refused; a first
// suspicion gives way.
func TestTheTableIsBounded(t *testing.T) {
	table := poison.NewTable()
	guilty := request("/folders/broken", "phone")
	table.Crashed(guilty, first)
	table.Crashed(guilty, second)

	for i := range poison.MaxSuspects + 10 {
		table.Crashed(request(fmt.Sprintf("/folders/%d", i), "phone"), first)
	}

	assert.Equal(t, table.Size(), poison.MaxSuspects)
	assert.Assert(t, table.Judge(guilty.Digest).Refused)
}

// The gate that has the permit to run a suspect dies. It must come back, or
// the request waits for ever.
func TestAPermitComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := poison.NewPermits()
		d := request("/folders/1", "phone").Digest

		assert.Assert(t, permits.Take(t.Context(), d))

		began := time.Now()

		assert.Assert(t, permits.Take(t.Context(), d))
		assert.Equal(t, time.Since(began), 30*time.Second)

		permits.Give(d)
		assert.Assert(t, permits.Take(t.Context(), d))
	})
}
