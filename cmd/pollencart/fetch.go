package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/http1/transport"
)

// maxReportBytes bounds the report of one node.
const maxReportBytes = 64 << 20

var reports = &http.Client{Transport: transport.NewDefault()}

// fetch decodes the JSON report at a URL into out.
func fetch(url string, timeout time.Duration, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}

	response, err := reports.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	data, err := http1.ReadAll(response.Body, maxReportBytes)

	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d: the node has no report", response.StatusCode)
	}

	return json.Unmarshal(data, out)
}
