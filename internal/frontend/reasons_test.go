package frontend_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/admission"
	"github.com/pollencart/pollencart/internal/frontend"
	"github.com/pollencart/pollencart/internal/peer"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/errs"
)

// Callers act on the error ID and the status code, so docs/CALLERS.md must list both.
func TestCallersPageListsEveryReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	assert.NilError(t, err)

	for _, e := range []*errs.Error{
		frontend.ErrNoSettings, frontend.ErrDraining, frontend.ErrNoRoute, frontend.ErrHeader, frontend.ErrBody, frontend.ErrNoUpstream,
		frontend.ErrOverloaded,
		frontend.ErrDeadline, frontend.ErrNodeStopped, frontend.ErrCanceled, frontend.ErrAnswerMismatch,
		admission.ErrWait, admission.ErrFull, admission.ErrShare, admission.ErrDeadline, admission.ErrCanceled, admission.ErrClosed,
		upstream.ErrNone, upstream.ErrUnreached, upstream.ErrShed, upstream.ErrNoAnswer, upstream.ErrTooLarge,
		peer.ErrUnreachable, peer.ErrBroken, peer.ErrOverloaded, peer.ErrNoMemory,
	} {
		line := fmt.Sprintf("| `%s` | %d |", e.ID, e.Code)
		assert.Assert(t, strings.Contains(string(page), line), "docs/CALLERS.md lacks %s", line)
	}
}
