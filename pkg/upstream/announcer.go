package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/pollencart/pollencart/pkg/errs"
	"github.com/pollencart/pollencart/pkg/settings"
)

// ErrNode is returned if the node does not take an announcement.
var ErrNode = errs.New("upstream.node", http.StatusBadGateway, "the node did not take the announcement")

// Defaults of an announcer.
const (
	// DefaultTTL lets three renewals be lost before the backend server is taken
	// for gone.
	DefaultTTL = 2 * time.Second
	// renewals is how often an announcement is renewed in its TTL.
	renewals = 4
	// notice is how long a leaving backend server goes on serving, so that what
	// was under way to it when it said so is run.
	notice = 500 * time.Millisecond
)

// Announcer announces one backend server and renews.
type Announcer struct {
	url     string
	client  *http.Client
	changed chan struct{}

	mu      sync.Mutex
	current Announcement
}

// New returns an announcer that talks to the control address of the node on this
// host. It begins as Warming, with a start of its own, and with the default TTL if the
// announcement has none.
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
		client:  &http.Client{Timeout: time.Duration(a.TTL) / 2},
		changed: make(chan struct{}, 1),
	}
}

// Set changes the state; Run tells the node at once.
func (a *Announcer) Set(s State) {
	a.mu.Lock()
	a.current.State = s
	a.mu.Unlock()

	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// Current returns what is announced.
func (a *Announcer) Current() Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.current
}

// Run announces and renews until ctx ends. A node that can't be reached is asked
// again at the next renewal: it may be starting anew.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = a.Announce(ctx)

		select {
		case <-ctx.Done():
		case <-a.changed:
		case <-time.After(time.Duration(a.Current().TTL) / renewals):
		}
	}
}

// Leave is the planned stop: it announces Draining, waits until nothing is in
// flight or ctx ends, and announces Gone. Run must go on meanwhile.
func (a *Announcer) Leave(ctx context.Context, inFlight func() int) error {
	const pause = 10 * time.Millisecond

	a.Set(Draining)
	err := a.Announce(ctx)
	wait(ctx, notice)

	for inFlight() > 0 && ctx.Err() == nil {
		wait(ctx, pause)
	}

	a.Set(Gone)

	if err != nil {
		return err
	}

	return a.Announce(context.WithoutCancel(ctx))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Announce tells the node once.
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

	if resp.StatusCode >= http.StatusMultipleChoices {
		const most = 1 << 10

		text, _ := io.ReadAll(io.LimitReader(resp.Body, most))

		return ErrNode.With("status %d: %s", resp.StatusCode, text)
	}

	return nil
}
