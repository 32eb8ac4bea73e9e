package crowd_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
