package node

import (
	"context"
	"os"
	"reflect"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Follow checks the settings file again at each signal until ctx ends, and tells whether a
// restart would change anything or fail. Keys and tokens are read when they change.
func (n *Node) Follow(ctx context.Context, signals <-chan os.Signal, load func() (config.Config, error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}

		next, err := load()

		switch {
		case err != nil:
			n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: err.Error()})
		case !reflect.DeepEqual(next, n.config):
			n.recorder.Record(event.SettingsRefused, timeline.Entry{Detail: "the change takes a restart"})
		default:
			n.recorder.Record(event.SettingsRead, timeline.Entry{Detail: "nothing changed"})
		}
	}
}
