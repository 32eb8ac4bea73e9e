package backend_test

import (
	"context"
	"errors"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/backend"
)

// withoutDescriptors calls f while the process can open no file descriptor.
func withoutDescriptors(t *testing.T, f func()) {
	t.Helper()

	var limit syscall.Rlimit

	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))

	// The standard streams stay open, so that no number below the limit becomes free.
	const streams = 3

	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: streams, Max: limit.Max}))

	defer func() { assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)) }()

	f()
}

// Guards against a sound backend server that is taken for down, or for crashed by a call, since this host has no file descriptors.
func TestLackOfDescriptorsIsNotABackendServerThatIsDown(t *testing.T) {
	p := serve(t, echo)

	var (
		err     error
		listens bool
	)

	withoutDescriptors(t, func() {
		_, err = do(t, p, "id-1", "")
		listens = p.Listens(context.Background())
	})

	assert.ErrorIs(t, err, backend.ErrBusy)
	assert.Assert(t, !errors.Is(err, backend.ErrDown))
	assert.Assert(t, listens)

	_, err = do(t, p, "id-2", "")
	assert.NilError(t, err)
}
