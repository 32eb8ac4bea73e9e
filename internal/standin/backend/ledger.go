package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/upstream"
)

// Run is one call that reached a backend server.
type Run struct {
	Backend string `json:"Backend"`
	Call    string `json:"Call"`
	Key     string `json:"Key"`
	// Crash is the value of HeaderCrash: which request ends the process.
	Crash string `json:"Crash"`
}

// report tells the ledger that the call is about to run.
func (s *Server) report(r *http.Request) error {
	if s.config.Ledger == "" {
		return nil
	}

	data, err := json.Marshal(Run{
		Backend: s.config.Name, Call: r.Header.Get(upstream.HeaderCall),
		Key: r.Header.Get(upstream.HeaderKey), Crash: r.Header.Get(HeaderCrash),
	})
	if err != nil {
		return err
	}

	// The call's own context may end in between; the ledger must still know.
	const timeout = 5 * time.Second

	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), timeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.config.Ledger, bytes.NewReader(data))
	if err != nil {
		return err
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}

	_ = resp.Body.Close()

	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("ledger: status %d", resp.StatusCode)
	}

	return nil
}
