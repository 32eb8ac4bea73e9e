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

// lookForSettings is the pause between looks at the settings file, which may change
// without a signal.
const lookForSettings = 2 * time.Second

// Follow reads the settings file again at each signal, and when its text changes,
// until ctx ends. Calls in flight go on: only bounds change, everything else needs a
// restart and is refused.
func (n *Sidecar) Follow(ctx context.Context, file string, signals <-chan os.Signal) {
	// The file may have changed since it was read at the start, so the first look takes
	// it for changed.
	var last []byte

	for {
		asked := false

		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-time.After(lookForSettings):
		}

		data, err := os.ReadFile(file)

		switch {
		case err != nil:
			n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: err.Error()})
		case asked || !bytes.Equal(data, last):
			n.reload(file, data, asked)

			last = data
		}
	}
}

// Settings returns the settings that hold now.
func (n *Sidecar) Settings() config.Config { return *n.settings.Load() }

func (n *Sidecar) reload(file string, data []byte, asked bool) {
	next, err := config.Parse(file, data)
	if err != nil {
		n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: err.Error()})

		return
	}

	before := n.settings.Load()
	if next == *before && !asked {
		return
	}

	if next != before.WithBounds(next.Bounds) {
		n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: "more than bounds has changed, which takes a restart"})

		return
	}

	detail := "nothing changed"
	if next.Bounds != before.Bounds {
		detail = "bounds changed"
	}

	n.settings.Store(&next)
	n.budget.Bind(boundOf(next))
	n.recorder.Record(event.SettingsRead, timeline.Entry{Detail: detail})
}

func boundOf(c config.Config) retrybudget.Bound {
	return retrybudget.Bound{
		Ratio: c.Bounds.RetryRatio, Slack: c.Bounds.RetrySlack, Window: config.Seconds(c.Bounds.RetryWindowSeconds),
	}
}
