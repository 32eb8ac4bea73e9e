package caller_test

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pollencart/pollencart/internal/http1/http1test"
	"github.com/pollencart/pollencart/pkg/caller"
)

// Guards against a broken answer of a node that counts as the answer to the request, or as a request that did not run.
func TestBrokenAnswerOfANodeIsAnUnknownOutcome(t *testing.T) {
	lines := caller.HeaderRan + ": not-run\r\n" + caller.HeaderUpstream + ": ledger-1\r\n"

	for client, options := range map[string][]caller.Option{
		"Default": nil,
		"Plain":   {caller.Client(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})},
	} {
		t.Run(client, func(t *testing.T) {
			var running sync.WaitGroup

			for name, a := range http1test.Broken(lines, "receipt") {
				s := http1test.NewServer(t)
				s.Send(a)

				c := caller.New(append([]caller.Option{caller.Nodes(s.Address), caller.Tries(1)}, options...)...)

				running.Go(func() {
					_, err := c.Do(t.Context(), caller.Request{Method: http.MethodPost, Path: "/uploads/1", Body: []byte("gift aid")})
					assert.Check(t, errors.Is(err, caller.ErrUnknown), "%s: %v", name, err)
					assert.Check(t, err == nil || !strings.Contains(err.Error(), http1test.Secret), "%s: %v", name, err)
					assert.Check(t, s.Requests() == 1, name)
				})
			}

			running.Wait()
		})
	}
}
