package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/internal/http1"
	"github.com/pollencart/pollencart/internal/http1/transport"
	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrNode is returned if the node rejects an announcement or is unreachable.
var ErrNode = errs.New("upstream.node", http.StatusBadGateway, "the node did not take the announcement")

// Timing of announcements.
const (
	// DefaultTTL, with four renewals per TTL, tolerates three lost renewals before
	// the announcement expires.
	DefaultTTL = 2 * time.Second
	// renewalsPerTTL is the number of renewals in one TTL.
	renewalsPerTTL = 4
	// drainNotice is how long a draining backend server keeps serving before it
	// checks for calls in flight, so that calls already sent to it are run.
	drainNotice = 500 * time.Millisecond
)

// Limits of an answer of the node.
const (
	maxAnswerBytes = 64 << 10
	maxErrorText   = 1 << 10
)

// Announcer announces one backend server and renews the announcement.
type Announcer struct {
	url     string
	client  *http.Client
	changed chan struct{}

	mu      sync.Mutex
	current Announcement
}

// New returns an announcer that uses the control address of the node on this host.
// The initial state is Warming. An empty Start is set to a new ULID, a zero TTL to
// DefaultTTL.
func New(node string, a Announcement) *Announcer {
	if a.TTL == 0 {
		a.TTL = settings.Duration(DefaultTTL)
	}

	if a.Start == "" {
		a.Start = ulid.Make().String()
	}

	a.State = Warming

	return &Announcer{
		url: "http://" + node + "/v1/upstream", current: a,
		client:  &http.Client{Timeout: time.Duration(a.TTL) / 2, Transport: transport.NewDefault()},
		changed: make(chan struct{}, 1),
	}
}

// Set changes the state; Run announces it immediately.
func (a *Announcer) Set(s State) {
	a.mu.Lock()
	a.current.State = s
	a.mu.Unlock()

	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Current returns the current announcement.
func (a *Announcer) Current() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.current
}

// Run announces and renews until ctx is done. Errors are ignored: a node that is
// unreachable, for example during its restart, gets the next renewal.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = a.Announce(ctx)

		select {
		case <-ctx.Done():
		case <-a.changed:
		case <-time.After(time.Duration(a.Current().TTL) / renewalsPerTTL):
		}
	}
}

// Leave drains the backend server: it announces Draining, waits until no call is in
// flight or ctx is done, and announces Gone. Run must keep renewing until Leave
// returns.
func (a *Announcer) Leave(ctx context.Context, inFlight func() int) error {
	const pollInterval = 10 * time.Millisecond

	a.Set(Draining)
	err := a.Announce(ctx)
	sleep(ctx, drainNotice)

	for inFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, pollInterval)
	}

	a.Set(Gone)

	if err != nil {
		return err
	}

	return a.Announce(context.WithoutCancel(ctx))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Announce sends the current announcement to the node once.
func (a *Announcer) Announce(ctx context.Context) error {
	data, err := json.Marshal(a.Current())
	if err != nil {
		return ErrNode.Wrap(err)
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, a.url, bytes.NewReader(data))
	if err != nil {
		return ErrNode.Wrap(err)
	}

	req.Header.Set("Content-Type", "application/json")

	resp, err := a.client.Do(req)
	if err != nil {
		return ErrNode.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()

	text, err := http1.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return ErrNode.Wrap(err)
	}

	if resp.StatusCode >= http.StatusMultipleChoices {
		return ErrNode.With("status %d: %s", resp.StatusCode, text[:min(len(text), maxErrorText)])
	}

	return nil
}
