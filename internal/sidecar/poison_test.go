package sidecar_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/platform"
	"github.com/pollencart/pollencart/platform/standin"
)

// upload sends a call that is not retried, and returns its status.
func (h *host) upload(path string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.config.CallerAddress+"/once/"+path, strings.NewReader("body"))
	if err != nil {
		return 0
	}

	names := platform.Headers()
	request.Header.Set(names.Call, "upload-"+path)
	request.Header.Set(names.Deadline, "1500")

	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0
	}

	_ = response.Body.Close()

	return response.StatusCode
}

// crashingBackend is a backend server that crashes on a request whose path ends in /broken.
type crashingBackend struct {
	*standin.Backend

	server  *httptest.Server
	crashes *atomic.Int32
}

// ServeHTTP runs a call, or simulates a crash: it closes the listener and all connections.
func (f *crashingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/broken") {
		f.Backend.ServeHTTP(w, r)

		return
	}

	f.crashes.Add(1)
	_ = f.server.Listener.Close()
	f.server.CloseClientConnections()
}

// A call has crashed one backend server, and its caller sends many copies at once through all nodes.
// Each copy needs a permission from the node that saw the crash. If permission requests go to the port
// of that node's backend server, they get no answer, and each copy that finds a node crashes a backend
// server.
func TestCopiesOfSuspectCallRunOneAtATime(t *testing.T) {
	f := newFleet(t, "ledger", "ledger", "ledger", "ledger")

	var crashes atomic.Int32

	for _, h := range f.hosts {
		h.server.Config.Handler = &crashingBackend{Backend: h.backend, server: h.server, crashes: &crashes}
	}

	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announceAll(t)

	for _, h := range f.hosts {
		eventually(t, h.serves)
	}

	f.hosts[0].upload("broken")
	assert.Equal(t, crashes.Load(), int32(1))

	var wg sync.WaitGroup

	for i := range 20 {
		wg.Go(func() { f.hosts[i%len(f.hosts)].upload("broken") })
	}

	wg.Wait()
	assert.Assert(t, crashes.Load() <= 2, "%d backend servers ended", crashes.Load())

	eventually(t, func() bool {
		return f.hosts[0].upload(fmt.Sprintf("folder-%d", time.Now().UnixNano())) == http.StatusOK
	})
}
