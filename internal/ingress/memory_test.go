package ingress_test

import (
	"context"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/ingress"
)

// An idle connection must not keep its last answer in memory.
func TestIdleConnectionDoesNotRetainItsLastAnswer(t *testing.T) {
	const size = 64 << 20

	_, c, in := serve(t, func(context.Context, ingress.Request) ingress.Response {
		return ingress.Response{Status: http.StatusOK, Body: make([]byte, size)}
	})

	sendGet(t, c, "/")
	r, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)

	buf := make([]byte, 64<<10)
	for n := 0; n < size; {
		k, err := r.Body.Read(buf)
		n += k
		if n < size {
			assert.NilError(t, err)
		}
	}

	time.Sleep(200 * time.Millisecond)
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	assert.Check(t, m.HeapAlloc < size/2, "%d MB in use with one idle connection", m.HeapAlloc>>20)
}
