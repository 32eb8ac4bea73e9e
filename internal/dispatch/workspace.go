package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pollencart/pollencart/internal/call"
	"github.com/pollencart/pollencart/internal/event"
	"github.com/pollencart/pollencart/internal/header"
	"github.com/pollencart/pollencart/internal/ingress"
	"github.com/pollencart/pollencart/internal/route"
	"github.com/pollencart/pollencart/internal/timeline"
	"github.com/pollencart/pollencart/internal/workspace"
)

// behindRetryAfter is the Retry-After of a call with an unknown key at a node that lacks a version, which
// usually arrives within 600 ms.
const behindRetryAfter = 300 * time.Millisecond

// reasonUnknownKey is the reason of a refused call. It doesn't contain the key.
const reasonUnknownKey = "the key is not known"

// holder returns the workspace that a call runs for, or nil if it runs for none. It returns false if the
// caller's key is unknown and the route needs one.
//
// Calls of backend servers carry no key, and nothing tells them from those of a caller without one.
// A public route ignores unknown keys.
func (d *Dispatcher) holder(table *route.Table, matched *route.Route, h http.Header) (*workspace.Workspace, bool) {
	directory := table.Workspaces()
	if directory == nil {
		return nil, true
	}

	keys := h.Values(d.options.Names.Key)
	if len(keys) == 0 || len(keys) == 1 && keys[0] == "" {
		return nil, true
	}

	// Several keys prove nothing: the header contains only the key.
	if len(keys) == 1 {
		if w, ok := directory.Holder(keys[0]); ok {
			return w, true
		}
	}

	return nil, matched.Public
}

// refuseKey returns the response to a call with an unknown key. A node that lacks a version can't tell
// whether that version has the key.
func (d *Dispatcher) refuseKey(o *Outcome) ingress.Response {
	if d.options.Versions != nil && d.options.Versions.Lacks() {
		return d.reject(o, "not run: the key is not known, and a newer version has not arrived yet", behindRetryAfter)
	}

	o.KeyRefused, o.Reason = true, reasonUnknownKey

	return d.localResponse(o, http.StatusUnauthorized)
}

// permit is what the active version says of a call: its route, and the workspace that it runs for or nil.
type permit struct {
	table     *route.Table
	route     *route.Route
	workspace *workspace.Workspace
}

// header returns the headers that the call is sent to backend servers with.
func (p permit) header(names header.Names, h http.Header) []call.Field {
	switch {
	case p.table.Workspaces() == nil:
		return names.Forwarded(h)
	case p.workspace == nil:
		return names.ForwardedFor(h, "")
	default:
		return names.ForwardedFor(h, p.workspace.Name)
	}
}

// rank returns the rank of the call.
func (p permit) rank() int {
	if d := p.table.Workspaces(); d != nil {
		return d.Rank(p.workspace, p.route.Priority)
	}

	return p.route.Priority
}

// takeQuota takes a call from the limit of its workspace.
func (d *Dispatcher) takeQuota(ctx context.Context, w *workspace.Workspace) QuotaDecision {
	if !d.isLimited(w) {
		return QuotaDecision{Allowed: true}
	}

	return d.options.Quotas.Take(ctx, w)
}

// returnQuota gives back a call that did not run.
func (d *Dispatcher) returnQuota(w *workspace.Workspace) {
	if d.isLimited(w) {
		d.options.Quotas.Return(w)
	}
}

func (d *Dispatcher) isLimited(w *workspace.Workspace) bool {
	return d.options.Quotas != nil && w != nil && w.Limited()
}

// recordKeyRefused records a call with an unknown key. Of many, some are left out and counted.
func (d *Dispatcher) recordKeyRefused(o Outcome) {
	leftOut, ok := d.refusedKeys.Next(time.Now())
	if !ok {
		return
	}

	detail := o.detail()
	if leftOut > 0 {
		detail += ", and " + strconv.Itoa(leftOut) + " calls before it that have no line"
	}

	d.options.Recorder.Record(event.KeyRefused, timeline.Entry{Call: o.ID, Version: o.Version, Detail: detail})
}
