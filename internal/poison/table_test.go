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

// The report of one crash reaches a gate three times: by the pull, from the gate that saw
// it and from a concurrent copy. If it counted three times, an unrelated request would be
// refused.
func TestRepeatedReportOfCrashCountsOnce(t *testing.T) {
	table := poison.NewTable()
	s := request("/folders/1", "phone")

	for range 3 {
		table.Crashed(s, first)
	}

	v := table.Evaluate(s.Digest)
	assert.Assert(t, v.Suspected && !v.Refused)
	assert.Equal(t, v.Crash, first)

	table.Crashed(s, second)
	assert.Assert(t, table.Evaluate(s.Digest).Refused)
}

func TestRefusalExpiresAfterHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := poison.NewTable()
		s := request("/folders/1", "phone")
		table.Crashed(s, first)
		table.Crashed(s, second)

		time.Sleep(poison.Hold - time.Second)
		assert.Equal(t, table.Evaluate(s.Digest).Left, time.Second)

		time.Sleep(2 * time.Second)
		assert.Equal(t, table.Evaluate(s.Digest), poison.Verdict{})
	})
}

// A header causes the crash. The same request without the header finishes and must not
// exonerate it.
func TestOnlyIdenticalRequestExoneratesSuspect(t *testing.T) {
	table := poison.NewTable()
	bad, good := request("/folders/1", "broken"), request("/folders/1", "phone")
	assert.Equal(t, bad.Digest, good.Digest)

	table.Crashed(bad, first)
	assert.Assert(t, !table.Finished(good))
	assert.Assert(t, table.Evaluate(bad.Digest).Suspected)

	assert.Assert(t, table.Finished(bad))
	assert.Assert(t, !table.Evaluate(bad.Digest).Suspected)
}

// A flood of crashes fills the table. Refused requests stay; first suspicions are
// dropped.
func TestFullTableKeepsRefusedRequests(t *testing.T) {
	table := poison.NewTable()
	bad := request("/folders/broken", "phone")
	table.Crashed(bad, first)
	table.Crashed(bad, second)

	for i := range poison.MaxSuspects + 10 {
		table.Crashed(request(fmt.Sprintf("/folders/%d", i), "phone"), first)
	}

	assert.Equal(t, table.Size(), poison.MaxSuspects)
	assert.Assert(t, table.Evaluate(bad.Digest).Refused)
}

// The holder of a permit terminates. The permit must expire, or the request waits for
// ever.
func TestPermitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := poison.NewPermits()
		d := request("/folders/1", "phone").Digest

		assert.Assert(t, permits.Acquire(t.Context(), d))

		began := time.Now()

		assert.Assert(t, permits.Acquire(t.Context(), d))
		assert.Equal(t, time.Since(began), 30*time.Second)

		permits.Release(d)
		assert.Assert(t, permits.Acquire(t.Context(), d))
	})
}
