package sidecar

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/retrybudget"
	"github.com/pollencart/pollencart/internal/sidecar/config"
	"github.com/pollencart/pollencart/internal/timeline"
)

// settingsPollInterval is how often the settings file is checked for a change without a signal.
const settingsPollInterval = 2 * time.Second

// Follow reloads the settings file on each signal and when its content changes, until ctx ends.
// It applies changed bounds without an effect on calls in flight, and rejects other changes,
// which need a restart.
func (n *Sidecar) Follow(ctx context.Context, file string, signals <-chan os.Signal) {
	// nil makes the first check reload the file, which may have changed since the start.
	var last []byte

	for {
		signalled := false

		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-time.After(settingsPollInterval):
		}

		data, err := os.ReadFile(file)

		switch {
		case err != nil:
			n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: err.Error()})
		case signalled || !bytes.Equal(data, last):
			n.reload(file, data, signalled)

			last = data
		}
	}
}

// Settings returns the active settings.
func (n *Sidecar) Settings() config.Config { return *n.settings.Load() }

func (n *Sidecar) reload(file string, data []byte, signalled bool) {
	next, err := config.Parse(file, data)
	if err != nil {
		n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: err.Error()})

		return
	}

	before := n.settings.Load()
	if next == *before && !signalled {
		return
	}

	if next != before.WithBounds(next.Bounds) {
		n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: "settings other than Bounds changed; restart the node to apply them"})

		return
	}

	detail := "nothing changed"
	if next.Bounds != before.Bounds {
		detail = "bounds changed"
	}

	n.settings.Store(&next)
	n.budget.Bind(retryBound(next))
	n.recorder.Record(event.SettingsRead, timeline.Entry{Detail: detail})
}

func retryBound(c config.Config) retrybudget.Bound {
	return retrybudget.Bound{
		Ratio: c.Bounds.RetryRatio, Slack: c.Bounds.RetrySlack, Window: config.Seconds(c.Bounds.RetryWindowSeconds),
	}
}
