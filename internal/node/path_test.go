package node_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/internal/standin/backend"
	"github.com/pollencart/pollencart/pkg/settings"
)

func TestCallsReachServiceOfTheirRoute(t *testing.T) {
	f := startFleet(t)
	f.accept()

	for i, path := range []string{"/folders/1", "/search/1", "/permissions/1"} {
		r := f.send(i, http.MethodGet, path, "", map[string]string{backend.HeaderEcho: path})
		assert.Equal(t, r.status, http.StatusOK)
		assert.Equal(t, r.answer.Echo, path)
		assert.Equal(t, r.answer.Path, path)
	}
}

// Many callers share the connections between two nodes, and answers arrive in another order
// than the requests. A mix-up would give a caller the data of another one.
func TestReorderedAnswersReachTheirOwnCallers(t *testing.T) {
	f := startFleet(t)
	f.accept()

	var wg sync.WaitGroup

	for n := range 200 {
		wg.Go(func() {
			echo := strings.Repeat("x", n%7) + string(rune('a'+n%26))
			work := []string{"0", "5", "1"}[n%3]

			r := f.send(0, http.MethodGet, "/folders/"+echo, "", map[string]string{
				backend.HeaderEcho: echo, backend.HeaderWorkMs: work,
			})
			if r.status == http.StatusOK {
				assert.Check(t, r.answer.Echo == echo && r.answer.Path == "/folders/"+echo)
			}
		})
	}

	wg.Wait()
}

func TestBadRequestsAreRejectedAsNotRun(t *testing.T) {
	f := startFleet(t)

	r := f.send(0, http.MethodGet, "/folders/1", "", nil)
	assert.Equal(t, r.refusal.ID, "entry.no_settings")

	f.accept()

	for _, c := range []struct {
		method, path, body, id string
		header                 map[string]string
	}{
		{http.MethodGet, "/nowhere", "", "entry.no_route", nil},
		{http.MethodPost, "/uploads/1", strings.Repeat("x", 2<<20+1), "entry.body", nil},
		{http.MethodGet, "/folders/1", "", "entry.header", map[string]string{"Pollencart-Deadline-Ms": "soon"}},
	} {
		r := f.send(1, c.method, c.path, c.body, c.header)
		assert.Equal(t, r.refusal.ID, c.id)
		assert.Equal(t, string(r.refusal.Ran), "not-run")
		assert.Equal(t, r.status, r.refusal.Code)
	}
}

func TestVersionWithUnknownServiceIsRejected(t *testing.T) {
	f := startFleet(t)
	number := f.accept()

	data, err := os.ReadFile("../../examples/midlands/tree.jsonc")
	assert.NilError(t, err)

	tree, err := settings.Parse("tree.jsonc", data)
	assert.NilError(t, err)

	service := "nowhere"
	tree.Overrides.Service = &service
	route := tree.Branches["midlands"].Branches["browse"].Routes["open-folder"]
	route.Overrides.Service = &service
	tree.Branches["midlands"].Branches["browse"].Routes["open-folder"] = route

	data, err = tree.Text()
	assert.NilError(t, err)

	_, err = f.operator(0).Accept(t.Context(), operator.AcceptRequest{File: "tree.jsonc", Tree: data, Base: number, ID: "bad"})
	assert.ErrorIs(t, err, settings.ErrInvalid)
	assert.ErrorContains(t, err, `/midlands/browse/open-folder: service "nowhere" is not declared`)

	history, err := f.operator(0).History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
}

// A caller disconnects while its call runs. The call must be canceled, or it keeps a slot that
// other calls wait for.
func TestCallerDisconnectCancelsCall(t *testing.T) {
	f := startFleet(t)
	f.accept()

	ctx, disconnect := context.WithCancel(t.Context())

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.hosts[0].Caller+"/folders/1", nil)
	assert.NilError(t, err)
	req.Header.Set(backend.HeaderWorkMs, "900")

	result := make(chan error, 1)

	go func() {
		_, err := http.DefaultClient.Do(req)
		result <- err
	}()

	running := func(n int) func() bool {
		return func() bool {
			inFlight := 0
			for _, h := range f.hosts {
				inFlight += h.backend.InFlight()
			}

			return inFlight == n
		}
	}

	f.wait("the call to run", running(1))
	disconnect()
	assert.ErrorIs(t, <-result, context.Canceled)
	f.wait("no call to run", running(0))

	canceled := 0
	for _, h := range f.hosts {
		canceled += h.backend.Counts().Cut
	}

	assert.Equal(t, canceled, 1, "cancellations that the backend servers saw")
}
