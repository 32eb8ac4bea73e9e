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

// upload sends a call that is not repeated, and returns its status.
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

// fragile is a backend server that a request to a broken folder ends.
type fragile struct {
	*standin.Backend

	server  *httptest.Server
	crashes *atomic.Int32
}

// ServeHTTP runs a call, or ends: its listener and all its connections are closed.
func (f *fragile) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "/broken") {
		f.Backend.ServeHTTP(w, r)

		return
	}

	f.crashes.Add(1)
	_ = f.server.Listener.Close()
	f.server.CloseClientConnections()
}

// The first press ended one backend server; then the caller opens ten windows at the same
// time, through all nodes. A copy runs by permission of the node that saw the crash. Who
// asked was sent to the port of that node's backend server, had no answer, and ran its
// copy: as many ended as copies found a node.
func TestCopiesOfASuspectRunOneAfterTheOther(t *testing.T) {
	f := newFleet(t, "ledger", "ledger", "ledger", "ledger")

	var crashes atomic.Int32

	for _, h := range f.hosts {
		h.server.Config.Handler = &fragile{Backend: h.backend, server: h.server, crashes: &crashes}
	}

	f.store.Write(platform.ConfigurationKey, standin.Document(1, "ledger"))
	f.announced(t)

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
