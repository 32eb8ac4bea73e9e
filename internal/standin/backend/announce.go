package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pollencart/pollencart/internal/idle"
	"github.com/pollencart/pollencart/internal/membership"
	"github.com/pollencart/pollencart/internal/upstream"
	"github.com/pollencart/pollencart/pkg/settings"
)

const (
	renewal = 500 * time.Millisecond
	ttl     = 2 * time.Second
	repeats = 5
)

// Announce tells the node on this host about the backend server and renews
// until ctx ends; then it drains and withdraws.
func (s *Server) Announce(ctx context.Context, node, address string) {
	for ctx.Err() == nil {
		state := membership.UpstreamReady
		if !s.Warm() {
			state = membership.UpstreamWarming
		}

		s.say(node, address, state)

		idle.For(ctx, renewal)
	}

	s.drain(node, address)
}

// drain lets what is in flight end, also what other nodes send before they have
// heard of the drain.
func (s *Server) drain(node, address string) {
	const pause = 20 * time.Millisecond

	// The word is repeated, since the node may be frozen or just starting.
	for start := time.Now(); time.Since(start) < s.config.DrainNotice; time.Sleep(s.config.DrainNotice / repeats) {
		s.say(node, address, membership.UpstreamDraining)
	}

	for s.InFlight() > 0 {
		time.Sleep(pause)
	}

	s.say(node, address, membership.UpstreamGone)
}

func (s *Server) say(node, address string, state membership.UpstreamState) {
	data, err := json.Marshal(upstream.Announcement{
		Service: s.config.Service, Address: address, Slots: s.config.Slots, Connections: s.config.Connections,
		State: state, TTL: settings.Duration(ttl), Start: s.name,
	})
	if err != nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+node+"/v1/upstream", bytes.NewReader(data))
	if err != nil {
		return
	}

	req.Header.Set("Content-Type", "application/json")

	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
}
