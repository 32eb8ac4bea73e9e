package crowd_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/operator"
	"github.com/pollencart/pollencart/platform/standin"
)

// Guards against heads without end at the listeners of the node that runs without the users' platform.
func TestHeadsAtANodeStayWithinMemory(t *testing.T) {
	for _, name := range []string{"Callers", "Operators", "Peers"} {
		t.Run(name, func(t *testing.T) {
			addresses := map[string]string{
				"Callers": standin.FreeAddress(), "Operators": standin.FreeAddress(), "Peers": standin.FreeAddress(),
			}
			process, ended := start(t, "node", nil, map[string]any{
				"ID": "a", "Region": "r", "FailureDomain": "d", "PeerAddress": addresses["Peers"], "CallerAddress": addresses["Callers"],
				"ControlAddress": addresses["Operators"], "MemoryMb": memoryMB,
			}, "pollencart", "node")
			healthy := func() bool { return get("http://"+addresses["Operators"]+"/healthz") == http.StatusOK }

			eventually(t, healthy)
			stay(t, 100, process.Process.Pid, addresses[name], unread(900_000))
			checkProcess(t, "node", process, ended, memoryMB)
			eventually(t, healthy)
			assert.Equal(t, get("http://"+addresses["Callers"]+"/x"), http.StatusServiceUnavailable) // it has no settings
			eventually(t, func() bool { return files(process.Process.Pid) <= ordinaryFiles })
		})
	}
}

// tree has a route for uploads.
const tree = `{"Branches": {"midlands": {"Region": {"FailureDomains": ["d"]}, "Branches": {"browse": {
	"Service": {"Slots": 64, "Connections": 100}, "Overrides": {"Idempotent": true, "Deadline": "10s", "BodyLimit": 2000000},
	"Routes": {"any": {"Match": {"Method": "POST", "PathPrefix": "/safe/"}}}}}}}}`

// Guards against bodies, heads and answers of calls at the node that runs without the users' platform.
func TestCallsAtANodeStayWithinMemory(t *testing.T) {
	for name, do := range map[string]client{
		"OpenBodies": almost(1_900_000), "Chunks": chunks(1_900_000, 1000, true), "Heads": heads("/safe/x", shortFields(headBytes), true),
		"SlowReaders": echo(1_900_000, 512, 250*time.Millisecond), "SteadyReaders": echo(1_900_000, 20_000, 200*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			platform, control, caller, backend := standin.FreeAddress(), standin.FreeAddress(), standin.FreeAddress(), standin.FreeAddress()
			launch(t, "platform", nil, "standin", "platform", "--listen", platform)
			process, ended := start(t, "node", nil, map[string]any{
				"ID": "a", "Region": "midlands", "FailureDomain": "d", "PeerAddress": standin.FreeAddress(), "CallerAddress": caller,
				"ControlAddress": control, "Platform": []string{"http://" + platform}, "MemoryMb": memoryMB,
			}, "pollencart", "node")

			eventually(t, func() bool { return get("http://"+control+"/healthz") == http.StatusOK })
			launch(t, "backend", nil, "standin", "backend", "--name", "b", "--service", "browse", "--listen", backend, "--node", control, "--slots", "64")
			eventually(t, func() bool {
				_, err := operator.NewClient(control).Accept(t.Context(), operator.AcceptRequest{ID: "1", Tree: []byte(tree)})

				return err == nil
			})

			f := &fleet{hosts: []*host{{name: "node", caller: caller, process: process, ended: ended}}}
			f.isAnswered(t)
			stay(t, 200, process.Process.Pid, caller, do)
			checkProcess(t, "node", process, ended, memoryMB)
			f.isAnswered(t)
			eventually(t, func() bool { return files(process.Process.Pid) <= ordinaryFiles })
		})
	}
}

// isAnswered waits until the first host answers an ordinary call. Refused calls come again.
func (f *fleet) isAnswered(t *testing.T) {
	t.Helper()

	eventually(t, func() bool {
		status, _ := f.hosts[0].post("/safe/x", strings.NewReader("body"), len("body"))

		return status == http.StatusOK
	})
}
