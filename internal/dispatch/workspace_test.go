package dispatch_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/balancer"
	"github.com/pollencart/pollencart/internal/dispatch"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/forward"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/workspace"
)

const (
	keyHeader       = "Pollencart-Caller-Key"
	workspaceHeader = "Pollencart-Workspace"
	unknownKey      = "unknown-key-7f3a91c2"
)

// versionOf returns a version with a public and a private route, and the holders of keys by key. A nil
// map is a version without workspaces.
func versionOf(t *testing.T, number uint64, holders map[string]*workspace.Workspace) *route.Table {
	t.Helper()

	var routes []*route.Route
	for _, name := range []string{"safe", "public"} {
		routes = append(routes, &route.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Idempotent: true, Timeout: time.Second, Target: 400 * time.Millisecond,
			Attempts: 2, Priority: 1, Public: name == "public", Destinations: []route.Destination{{Service: "browse", Weight: 1}},
		})
	}

	table, err := route.New(number, route.Limits{}, []route.Service{{Name: "browse"}}, routes)
	assert.NilError(t, err)

	if holders == nil {
		return table
	}

	var entries []workspace.Entry
	for key, w := range holders {
		entries = append(entries, workspace.Entry{Workspace: w, Keys: []string{key}})
	}

	d, err := workspace.New(entries)
	assert.NilError(t, err)

	return table.WithWorkspaces(d)
}

// guarded is a dispatcher whose version has the workspaces a with key ka and b with key kb.
type guarded struct {
	*fleet

	holder     *route.Holder
	recorder   *timeline.Recorder
	log        *bytes.Buffer
	dispatcher *dispatch.Dispatcher
	a, b       *workspace.Workspace
}

func newGuarded(t *testing.T, opts ...func(*dispatch.Options)) *guarded {
	t.Helper()

	g := &guarded{
		fleet: newFleet(3), holder: &route.Holder{}, log: &bytes.Buffer{}, a: &workspace.Workspace{Name: "a"}, b: &workspace.Workspace{Name: "b"},
	}
	g.recorder = timeline.New(timeline.Logger(slog.New(slog.NewTextHandler(g.log, &slog.HandlerOptions{Level: slog.LevelDebug}))))
	g.activate(t, 7, map[string]*workspace.Workspace{"ka": g.a, "kb": g.b})

	o := dispatch.Options{
		Node: "me", FailureDomain: "derby", Service: "finder", Names: header.Default(), Tables: g.holder, Members: g.fleet, Peers: g.fleet,
		Balancer: balancer.New(), Budget: retrybudget.New(retrybudget.Bound{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}),
		Recorder: g.recorder, Intake: g.draining,
	}
	for _, opt := range opts {
		opt(&o)
	}

	g.dispatcher = dispatch.New(o)

	return g
}

func (g *guarded) activate(t *testing.T, number uint64, holders map[string]*workspace.Workspace) {
	t.Helper()
	assert.Assert(t, g.holder.Offer(versionOf(t, number, holders), nil))
}

// sent returns the values of a header in each request that nodes were sent.
func (g *guarded) sent(name string) [][]string {
	var out [][]string

	for _, r := range g.requests {
		values := []string{}

		for _, f := range r.Header {
			if strings.EqualFold(f.Name, name) {
				values = append(values, f.Value)
			}
		}

		out = append(out, values)
	}

	return out
}

func TestCallRunsForTheHolderOfItsKey(t *testing.T) {
	for _, c := range []struct {
		name, path, key, claims string
		status                  int
		workspace               []string
	}{
		{"holder", "/safe/x", "ka", "", http.StatusOK, []string{"a"}},
		{"holder on a public route", "/public/x", "kb", "", http.StatusOK, []string{"b"}},
		{"caller names another workspace", "/safe/x", "ka", "b", http.StatusOK, []string{"a"}},
		{"no key", "/safe/x", "", "b", http.StatusOK, []string{}},
		{"no key on a public route", "/public/x", "", "b", http.StatusOK, []string{}},
		{"unknown key on a public route", "/public/x", unknownKey, "b", http.StatusOK, []string{}},
		{"unknown key", "/safe/x", unknownKey, "a", http.StatusUnauthorized, nil},
		{"name of a workspace as key", "/safe/x", "a", "a", http.StatusUnauthorized, nil},
		{"two keys in one", "/safe/x", "ka, kb", "", http.StatusUnauthorized, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGuarded(t)
				r := send(g.dispatcher, c.path, keyHeader, c.key, workspaceHeader, c.claims, "X-Other", "kept")
				assert.Equal(t, r.Status, c.status)

				if c.workspace == nil {
					assert.Equal(t, len(g.contacted), 0)
					assert.Equal(t, retryAfter(t, r), 0.0)

					return
				}

				assert.DeepEqual(t, g.sent(workspaceHeader), [][]string{c.workspace})
				assert.DeepEqual(t, g.sent(keyHeader), [][]string{{}})
				assert.DeepEqual(t, g.sent("X-Other"), [][]string{{"kept"}})
			})
		})
	}
}

// A second key in a line of its own must not choose whom the call runs for.
func TestCallWithTwoKeysIsRefused(t *testing.T) {
	g := newGuarded(t)
	r := g.dispatcher.Serve(t.Context(), ingress.Request{
		Method: http.MethodGet, Host: "a.example", URI: "/safe/x", Path: "/safe/x", Arrived: time.Now(),
		Header: http.Header{keyHeader: {"ka", "kb"}},
	})
	assert.Equal(t, r.Status, http.StatusUnauthorized)
}

// A retry goes to another node with the holder's name, also where the caller named a workspace itself.
func TestRetryKeepsTheWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t)
		g.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			if len(g.contacted) == 1 {
				return forward.Reply{Result: forward.Lost}, nil
			}

			return answered(ctx, a, in)
		}
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka", workspaceHeader, "b").Status, http.StatusOK)
		assert.DeepEqual(t, g.sent(workspaceHeader), [][]string{{"a"}, {"a"}})
		assert.DeepEqual(t, g.sent(keyHeader), [][]string{{}, {}})
	})
}

// Earlier deployments have no workspaces: both headers are the callers' own.
func TestHeadersAreForwardedWithoutWorkspaces(t *testing.T) {
	g := newGuarded(t)
	g.activate(t, 8, nil)
	assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, unknownKey, workspaceHeader, "b").Status, http.StatusOK)
	assert.DeepEqual(t, g.sent(workspaceHeader), [][]string{{"b"}})
	assert.DeepEqual(t, g.sent(keyHeader), [][]string{{unknownKey}})
}

// A key that is taken away is refused from the version on, and one that moves to another workspace
// counts for that one; a call that waits meanwhile was sent before and runs.
func TestKeyIsTakenAwayWhileACallWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t)
		g.reply = func(ctx context.Context, a string, in forward.Request) (forward.Reply, error) {
			time.Sleep(100 * time.Millisecond)

			return answered(ctx, a, in)
		}

		waiting := make(chan int, 1)

		go func() { waiting <- send(g.dispatcher, "/safe/x", keyHeader, "ka").Status }()

		synctest.Wait()
		g.activate(t, 8, map[string]*workspace.Workspace{"kb": g.a, "kc": g.b})

		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusUnauthorized)
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "kb").Status, http.StatusOK)
		assert.Equal(t, <-waiting, http.StatusOK)
		assert.DeepEqual(t, g.sent(workspaceHeader), [][]string{{"a"}, {"a"}})

		assert.Assert(t, !g.holder.Offer(versionOf(t, 7, map[string]*workspace.Workspace{"ka": g.a}), nil))
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusUnauthorized)
	})
}

type versions bool

func (v versions) Lacks() bool { return bool(v) }

// A newer version may have the key: a final refusal would cost the caller its call.
func TestUnknownKeyIsNotRefusedForGoodWhileAVersionIsMissing(t *testing.T) {
	for lacks, status := range map[versions]int{false: http.StatusUnauthorized, true: http.StatusServiceUnavailable} {
		g := newGuarded(t, func(o *dispatch.Options) { o.Versions = lacks })
		r := send(g.dispatcher, "/safe/x", keyHeader, unknownKey)
		assert.Equal(t, r.Status, status)
		assert.Equal(t, retryAfter(t, r) > 0, bool(lacks))
		assert.Equal(t, len(g.contacted), 0)
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusOK)
	}
}

// racingTables returns the older table first.
type racingTables struct{ tables []*route.Table }

func (r *racingTables) Load() *route.Table {
	t := r.tables[0]
	if len(r.tables) > 1 {
		r.tables = r.tables[1:]
	}

	return t
}

// The version that has the key becomes active while the call is checked by the one before.
func TestKeyOfAVersionThatArrivesMeanwhileIsKnown(t *testing.T) {
	g := newGuarded(t, func(o *dispatch.Options) {
		o.Tables = &racingTables{[]*route.Table{
			versionOf(t, 7, map[string]*workspace.Workspace{}), versionOf(t, 8, map[string]*workspace.Workspace{"ka": {Name: "a"}}),
		}}
	})
	assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusOK)
}

// Keys must not appear in lines, the timeline and answers, and a flood of refusals must not crowd out
// other lines.
func TestRefusalsHaveFewLinesAndNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t)

		for range 500 {
			r := send(g.dispatcher, "/safe/x", keyHeader, unknownKey, workspaceHeader, "a")
			assert.Assert(t, !strings.Contains(fmt.Sprint(r), unknownKey))
			assert.Equal(t, string(r.Body), "the key is not known\n")
			time.Sleep(10 * time.Millisecond)
		}

		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, "ka").Status, http.StatusOK)

		refused := g.recorder.Entries(timeline.Filter{Event: event.KeyRefused.Name})
		assert.Equal(t, len(refused), 10)
		assert.Equal(t, refused[0].Call, "id-1")
		assert.Assert(t, strings.HasSuffix(refused[2].Detail, "and 98 calls before it that have no line"), refused[2].Detail)

		all := g.recorder.Entries(timeline.Filter{})
		assert.Equal(t, len(all), 11)
		assert.Assert(t, strings.Contains(all[10].Detail, " workspace a"), all[10].Detail)

		for _, key := range []string{unknownKey, "ka"} {
			assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", all), key))
			assert.Assert(t, !strings.Contains(g.log.String(), key))
		}
	})
}

// The workspace's priority goes before the route's, which is 1.
func TestWorkspaceDecidesTheRank(t *testing.T) {
	g := newGuarded(t)
	g.activate(t, 8, map[string]*workspace.Workspace{
		"first": {Name: "first", Ranked: true}, "third": {Name: "third", Ranked: true, Priority: 2}, "none": {Name: "none"},
	})

	for _, key := range []string{"first", "none", "third", ""} {
		assert.Equal(t, send(g.dispatcher, "/safe/x", keyHeader, key).Status, http.StatusOK)
	}

	var ranks []int
	for _, r := range g.requests {
		ranks = append(ranks, r.Rank)
	}

	assert.DeepEqual(t, ranks, []int{1, 4, 7, 4})
}
