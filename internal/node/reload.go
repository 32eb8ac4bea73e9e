package node

import (
	"context"
	"os"
	"reflect"

	"github.com/pollencart/pollencart/internal/config"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/timeline"
)

// Follow loads the settings file at each signal until ctx ends, and records whether a restart
// would fail or change anything. It applies no change; certificates and tokens are reread
// elsewhere when their files change.
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
