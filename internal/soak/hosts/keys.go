package hosts

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pollencart/pollencart/platform"
)

// Each version gives a new key to one workspace, and the key of the version before to the other. A key is
// therefore added, moved once and taken away.
const (
	newHolder = "new"
	oldHolder = "old"
	keyPrefix = "soak-key-"
)

func keyOf(version int) string { return fmt.Sprintf("%s%d-", keyPrefix, version) }

func keysOf(version int) map[string]string {
	return map[string]string{newHolder: keyOf(version), oldHolder: keyOf(version - 1)}
}

// keyAnswers are the answers to calls with the key that the version that is due took away, and with the one
// that it added.
type keyAnswers struct{ gone, added keyAnswer }

func askKeys(ctx context.Context, h *host, due int) keyAnswers {
	const lived = 2 // versions that a key is in
	if due <= lived {
		return keyAnswers{}
	}

	return keyAnswers{h.askWithKey(ctx, due-lived), h.askWithKey(ctx, due)}
}

// keyAnswer is the answer to a call with a key, and the workspace that it ran for.
type keyAnswer struct {
	status    int
	workspace string
}

// askWithKey sends a call with the key of a version.
func (h *host) askWithKey(ctx context.Context, version int) keyAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.config.CallerAddress+"/safe/key", nil)
	if err != nil {
		return keyAnswer{}
	}

	request.Header.Set(platform.Headers().Key, keyOf(version))
	request.Header.Set(platform.Headers().Workspace, oldHolder)

	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return keyAnswer{}
	}

	_ = response.Body.Close() // only the head is asked for

	return keyAnswer{response.StatusCode, response.Header.Get("Ran-For")}
}

// judgeKeys requires that the key which a version before took away is refused, and that the one which the
// newest version added is known and runs for its holder.
func (r *run) judgeKeys(h *host, at time.Time, due, latest int, keys keyAnswers) {
	gone, added := keys.gone, keys.added
	r.versions.countKeys(gone, added)

	if gone.status == http.StatusOK {
		r.report.broken("%s took a key at %s that version %d had taken away", h.config.Node, at.Format(clock), due)
	}

	if known, _ := r.versions.at(time.Now()); known != latest || due != latest {
		return
	}

	if added.status == http.StatusUnauthorized || added.status == http.StatusOK && added.workspace != newHolder {
		r.report.broken("%s answered %d for workspace %q at %s to the key of version %d, which was due",
			h.config.Node, added.status, added.workspace, at.Format(clock), due)
	}
}

// countKeys counts the answers that tell whether a key is known.
func (v *versions) countKeys(gone, added keyAnswer) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if gone.status == http.StatusUnauthorized {
		v.gone++
	}

	if added.status == http.StatusOK {
		v.added++
	}
}

// gotHeaders checks what a backend server gets.
func (b *backend) gotHeaders(h http.Header) {
	if h.Get(platform.Headers().Key) != "" {
		b.report.broken("%s got a key", b.name)
	}
}

// checkLines requires that no line of a host has a key.
func (r *run) checkLines() {
	for _, h := range r.hosts {
		if lines, err := os.ReadFile(h.log.Name()); err != nil || bytes.Contains(lines, []byte(keyPrefix)) {
			r.report.broken("a line of %s has a key, or can't be read: %v", h.config.Node, err)
		}
	}
}
