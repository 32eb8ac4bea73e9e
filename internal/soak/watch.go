package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/pollencart/pollencart/internal/harness"
	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/invariant"
	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/pkg/settings"
)

// watch asks all nodes again and again what they hold.
type watch struct {
	recorder  *recorder
	fleet     *harness.Fleet
	operators *operators
	client    *http.Client

	mu      sync.Mutex
	seen    map[int]life
	digests map[uint64]settings.Digest
}

// life is what was seen of one process.
type life struct {
	pid     int
	version float64
	checked float64
	broken  float64
	// newest is the newest version seen on this host, in any life.
	newest float64
}

func newWatch(r *recorder, f *harness.Fleet, o *operators) *watch {
	const timeout = time.Second

	return &watch{
		recorder: r, fleet: f, operators: o, client: &http.Client{Timeout: timeout},
		seen: map[int]life{}, digests: map[uint64]settings.Digest{},
	}
}

func (w *watch) run(ctx context.Context) {
	const pause = 250 * time.Millisecond

	var wg sync.WaitGroup

	for h := range w.fleet.Hosts {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.metrics(h)
				w.tree(ctx, h)
				idle.For(ctx, pause)
			}
		})
	}

	wg.Wait()
}

func (w *watch) pid(h int) int {
	return w.fleet.Process(harness.NodeName(w.fleet.Hosts[h].ID)).Pid()
}

// metrics checks that the version of a process only goes up, and reads what its
// own checks found.
func (w *watch) metrics(h int) {
	pid := w.pid(h)

	families, err := w.scrape(h)
	if err != nil || pid != w.pid(h) {
		return
	}

	now := life{pid: pid, version: sum(families["pollencart_settings_version"])}
	now.checked = sum(families[invariant.MetricChecked])
	now.broken = sum(families[invariant.MetricBroken])

	w.mu.Lock()
	old := w.seen[h]
	w.mu.Unlock()

	if old.pid != pid {
		old = life{newest: old.newest}
	}

	if old.version == 0 {
		w.began(now, old)
	}

	w.mu.Lock()
	now.newest = max(old.newest, now.version)
	w.seen[h] = now
	w.mu.Unlock()

	id := w.fleet.Hosts[h].ID
	w.recorder.check(PromiseVersionsGoUp, now.version >= old.version, "%s held %v after %v", id, now.version, old.version)
	w.recorder.check(PromiseInvariants, now.broken <= old.broken, "%s: %s", id, brokenNames(families[invariant.MetricBroken]))
	w.recorder.add(func(r *Report) { r.InvariantChecks += int64(max(now.checked-old.checked, 0)) })
}

// began counts a fresh process that holds an older version than the one
// before it did: it asks whom it can reach, and may be cut off from all who know
// better. It is told apart from a process that goes back, which never may.
func (w *watch) began(now, old life) {
	if now.version > 0 && now.version < old.newest {
		w.recorder.add(func(r *Report) { r.OlderAfterRestart++ })
	}
}

func (w *watch) scrape(h int) (map[string]*dto.MetricFamily, error) {
	resp, err := w.client.Get("http://" + w.fleet.Hosts[h].Control + "/metrics") //nolint:noctx // the client has a timeout
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()

	p := expfmt.NewTextParser(model.UTF8Validation)

	return p.TextToMetricFamilies(resp.Body)
}

func value(m *dto.Metric) float64 { return m.GetGauge().GetValue() + m.GetCounter().GetValue() }

func sum(f *dto.MetricFamily) float64 {
	var total float64
	for _, m := range f.GetMetric() {
		total += value(m)
	}

	return total
}

func brokenNames(f *dto.MetricFamily) []string {
	var out []string

	for _, m := range f.GetMetric() {
		if value(m) > 0 {
			out = append(out, m.GetLabel()[0].GetValue())
		}
	}

	return out
}

// tree checks that a node holds all of one version: the records of its tree have
// the digest of the version, and the version has one digest everywhere.
func (w *watch) tree(ctx context.Context, h int) {
	const timeout = time.Second

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	t, err := w.fleet.Operator(h).Tree(ctx)
	if err != nil {
		return
	}

	records, err := t.Tree.Records()
	if err != nil {
		w.recorder.check(PromiseVersionsWhole, false, "%s: %v", w.fleet.Hosts[h].ID, err)

		return
	}

	w.whole(w.fleet.Hosts[h].ID, t, settings.TreeDigest(records.Digests()))
}

func (w *watch) whole(id string, t operator.TreeText, got settings.Digest) {
	number := t.Version.Number

	w.mu.Lock()

	want, known := w.digests[number]
	if !known {
		want = t.Version.Digest
		w.digests[number] = want
	}
	w.mu.Unlock()

	if told, ok := w.operators.digestOf(number); ok {
		want = told
	}

	w.recorder.check(PromiseVersionsWhole, got == want && t.Version.Digest == want,
		"%s holds %s as version %d, accepted was %s", id, got, number, want)
}

// repaired reports whether every node holds the newest accepted version and
// knows every backend server.
func (w *watch) repaired(ctx context.Context) (string, bool) {
	const timeout = 3 * time.Second

	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	s, err := w.fleet.Operator(0).Status(ctx)
	if err != nil {
		return err.Error(), false
	}

	if s.Newest < w.operators.newest() {
		return "the newest accepted version is not held", false
	}

	if s.ActiveNodes != len(w.fleet.Hosts) {
		return describe(s), false
	}

	for _, n := range s.Nodes {
		if n.ReadyBackends != len(w.fleet.Hosts) {
			return describe(s), false
		}
	}

	return "", true
}

func describe(s operator.Status) string {
	out := ""

	for _, n := range s.Nodes {
		if n.Version != s.Newest || n.ReadyBackends != len(s.Nodes) || n.Error != "" {
			out += n.ID + ": " + n.MemberState + " " + n.Error + " version " + number(n.Version) + " knows " + number(uint64(n.ReadyBackends)) + "; "
		}
	}

	return out
}
