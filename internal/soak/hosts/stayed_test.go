package hosts

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/sidecar/config"
)

// judged plays the verdict on a call that was sent a second after its host's SIGTERM, with
// what was done to its host and to the one that ran it.
func judged(change func(r *run, s *stayed, own, other *host)) *Report {
	r := &run{report: newReport(1)}
	start := time.Now().Add(-time.Minute)

	for _, name := range []string{"own", "other"} {
		r.hosts = append(r.hosts, &host{config: config.Config{Node: name}, backend: &backend{}})
	}

	own, other := r.hosts[0], r.hosts[1]
	own.lives = []*life{{asked: start, over: start.Add(3 * time.Second)}}

	s := &stayed{id: "s1", host: own, at: start.Add(time.Second), limit: callTime}
	s.end = s.at.Add(time.Second / 2)
	r.report.ran(s.id, "other")
	change(r, s, own, other)
	r.report.calls = append(r.report.calls, s)
	r.judgeStayed()

	return r.report
}

// A call that ran and lost its connection in a planned stop must not be taken for allowed.
func TestACutCallIsBrokenUnlessItsHostWasKilledOrPaused(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(r *run, s *stayed, own, other *host)
		broken  int
		leftOut int
	}{
		"ran":             {func(*run, *stayed, *host, *host) {}, 1, 0},
		"did not run":     {func(r *run, _ *stayed, _, _ *host) { clear(r.report.runs) }, 0, 0},
		"answered":        {func(_ *run, s *stayed, _, _ *host) { s.status = http.StatusOK }, 0, 0},
		"refused and ran": {func(_ *run, s *stayed, _, _ *host) { s.status = http.StatusServiceUnavailable }, 1, 0},
		"limited and ran": {func(_ *run, s *stayed, _, _ *host) { s.status = http.StatusTooManyRequests }, 1, 0},
		"given up":        {func(_ *run, s *stayed, _, _ *host) { s.status = http.StatusBadGateway }, 1, 0},
		"time was over":   {func(_ *run, s *stayed, _, _ *host) { s.end = s.at.Add(callTime) }, 0, 0},
		"given up at the limit": {func(_ *run, s *stayed, _, _ *host) {
			s.status, s.end = http.StatusBadGateway, s.at.Add(callTime-forTheWay)
		}, 0, 0},
		"given up before the limit": {func(_ *run, s *stayed, _, _ *host) {
			s.status, s.end = http.StatusBadGateway, s.at.Add(callTime-forTheWay-1)
		}, 1, 0},
		"cut before the limit": {func(_ *run, s *stayed, _, _ *host) { s.end = s.at.Add(callTime - 1) }, 1, 0},
		"outside a stop":       {func(_ *run, _ *stayed, own, _ *host) { own.lives = nil }, 1, 0},
		"paused":               {func(_ *run, s *stayed, own, _ *host) { own.pauses = []span{{s.at, s.end}} }, 0, 1},
		"paused before":        {func(_ *run, s *stayed, own, _ *host) { own.pauses = []span{{s.at.Add(-time.Second), s.at.Add(-1)}} }, 1, 0},
		"killed":               {func(_ *run, s *stayed, own, _ *host) { own.lives[0].killed = s.end }, 0, 1},
		"killed later":         {func(_ *run, s *stayed, own, _ *host) { own.lives[0].killed = s.end.Add(1) }, 1, 0},
		"other killed":         {func(_ *run, s *stayed, _, other *host) { other.lives = []*life{{killed: s.at, over: s.end}} }, 1, 0},
		"other killed, given up": {func(_ *run, s *stayed, _, other *host) {
			s.status = http.StatusBadGateway
			other.lives = []*life{{killed: s.at, over: s.end}}
		}, 0, 1},
		"backend server gone, given up": {func(_ *run, s *stayed, _, other *host) {
			s.status = http.StatusBadGateway
			other.backend.ends = []time.Time{s.end}
		}, 0, 1},
	} {
		r := judged(c.change)
		assert.Check(t, len(r.Broken) == c.broken, "%s: %v", name, r.Broken)
		assert.Check(t, r.Stayed.LeftOut == c.leftOut, name)
	}
}

// A stop that outlasts the grace time, or a process that ends unasked, must not pass unseen.
func TestAnEndThatNobodyPlannedIsBroken(t *testing.T) {
	at := time.Now()

	for name, c := range map[string]struct {
		life   life
		pauses []span
		broken int
	}{
		"in time":                  {life{asked: at, over: at.Add(grace)}, nil, 0},
		"too late":                 {life{asked: at, over: at.Add(grace + 1)}, nil, 1},
		"forced":                   {life{asked: at, killed: at.Add(grace), over: at.Add(grace), forced: true}, nil, 1},
		"killed by another fault":  {life{asked: at, killed: at.Add(1), over: at.Add(1)}, nil, 0},
		"paused":                   {life{asked: at, over: at.Add(grace + 1)}, []span{{at, at}}, 0},
		"by itself":                {life{over: at}, nil, 1},
		"it runs":                  {life{}, nil, 0},
		"killed without SIGTERM":   {life{killed: at, over: at}, nil, 0},
		"asked again, in the time": {life{asked: at, over: at.Add(time.Second)}, nil, 0},
	} {
		r := newReport(1)
		r.judgeStops(&host{lives: []*life{&c.life}, pauses: c.pauses})
		assert.Check(t, len(r.Broken) == c.broken, "%s: %v", name, r.Broken)
	}
}

// An answer to another call, or behind the last one, must not be taken for the right one.
func TestAConnectionTellsItsAnswersApart(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"

	for text, broken := range map[string]int{
		head + "\r\nabc": 1,
		head + "Connection: close\r\n\r\nabcHTTP/1.1 200 ": 2,
		"nonsense\r\n\r\n": 1,
		head + "\r\nab":    0,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nabc": 0,
		"": 0,
	} {
		near, far := net.Pipe()
		r := &run{report: newReport(1)}
		c := &connection{run: r, host: &host{}, raw: near, in: bufio.NewReader(near), waiting: []*stayed{{id: "s1", host: &host{}}}}

		go func() {
			_, _ = io.WriteString(far, text)
			_ = far.Close()
		}()

		c.read()
		assert.Check(t, len(r.report.Broken) == broken, "%q: %v", text, r.report.Broken)
		assert.Check(t, len(r.report.calls) == 1, "%q", text)
	}
}
