package poison

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/peer"
)

// Peer methods between gates.
const (
	MethodNotify  = "Poison.Tell"
	MethodPull    = "Poison.Pull"
	MethodAcquire = "Poison.Take"
	MethodRelease = "Poison.Give"
)

// Notification reports suspects to another gate.
type Notification struct {
	// From is the sender, with the service that the suspects are of. Older programs do not name
	// themselves.
	From Gate `msgpack:"From"`
	// KnownGates are the hashes of the live gates of the service that the sender knows.
	KnownGates []uint64 `msgpack:"KnownGates"`
	Reports    []Report `msgpack:"Reports"`
}

// NotificationReply is the reply to a Notification.
type NotificationReply struct {
	// Finished are the suspects that finished at the notified gate since the crashed
	// calls began.
	Finished []Suspect `msgpack:"Finished"`
	// Known is what the notified gate already knew of the same requests. It may have seen
	// a crash while it was unreachable.
	Known []Report `msgpack:"Known"`
	// Running are the suspects that run at the notified gate now.
	Running []Suspect `msgpack:"Running"`
	// Gates are live gates of the service that the sender does not know.
	Gates []Gate `msgpack:"Gates"`
}

// PermitRequest acquires or releases the permit to run a suspect.
type PermitRequest struct {
	// From is the gate that asks, empty from older programs.
	From Gate `msgpack:"From"`
	// Gate is the boot ID of the gate process that saw the crash; a later process on its
	// host knows nothing of it. It is empty if that process has terminated and the
	// receiver stands in.
	Gate    string  `msgpack:"Gate"`
	Service string  `msgpack:"Service"`
	Suspect Suspect `msgpack:"Suspect"`
	Crashes []Crash `msgpack:"Crashes"`
}

// PermitReply is the reply to a request for a permit.
type PermitReply struct {
	Granted bool `msgpack:"Granted"`
	// Gone is set if the process that saw the crash has terminated, Untold if not all
	// live gates know of the crash.
	Gone   bool `msgpack:"Gone"`
	Untold bool `msgpack:"Untold"`
	// Crashes are the crashes that count against the request.
	Crashes []Crash `msgpack:"Crashes"`
}

func (p PermitReply) err() error {
	switch {
	case p.Granted:
		return nil
	case p.Gone:
		return errGranterRestarted
	case p.Untold:
		return errNotAllNotified
	}

	return errRunsElsewhere
}

// PullRequest asks for all reports. It names its sender, which is notified of later ones, too.
type PullRequest = Gate

// Empty is an empty message.
type Empty struct{}

// Handlers returns the handlers for requests of other gates, by method.
func (w *Watch) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodNotify:  peer.Typed(w.serveNotification),
		MethodPull:    peer.Typed(w.servePull),
		MethodAcquire: peer.Typed(w.serveAcquire),
		MethodRelease: peer.Typed(w.serveRelease),
	}
}

// serveNotification merges the reports of another gate. It replies with what this gate
// knew of the requests, which of them finished here since their crashed calls began, and the gates
// that the sender does not know. The reports are merged before the gates are read: a gate that
// contacts this one later pulls them, and one that did before is named.
func (w *Watch) serveNotification(_ context.Context, n Notification) (NotificationReply, error) {
	out := NotificationReply{Known: w.table.Known(n.Reports)}

	w.contacts.add(n.From, true)
	w.table.Merge(n.Reports)
	out.Gates = w.unknownTo(n)

	running := w.runningRequests()

	for _, r := range n.Reports {
		if len(r.Crashes) > 0 && running[r.Suspect.Digest] {
			out.Running = append(out.Running, r.Suspect)
		}

		if len(r.Crashes) > 0 && r.Age > 0 && w.recentFinishes.has(r.Suspect.Whole, r.Age) {
			out.Finished = append(out.Finished, r.Suspect)
		}
	}

	return out, nil
}

// servePull returns all suspects known here. The sender is remembered first, so that it misses no
// crash after this reply.
func (w *Watch) servePull(_ context.Context, p PullRequest) ([]Report, error) {
	w.contacts.add(p, true)

	return w.table.Reports(), nil
}

// serveAcquire grants a permit, if no other gate holds it.
func (w *Watch) serveAcquire(ctx context.Context, p PermitRequest) (PermitReply, error) {
	if p.Gate != "" && p.Gate != w.self.BootID {
		return PermitReply{Gone: true}, nil
	}

	w.contacts.add(p.From, true)

	err := w.grant(ctx, p)

	return PermitReply{
		Granted: err == nil, Untold: errors.Is(err, errNotAllNotified),
		Crashes: w.table.Crashes(p.Suspect.Digest),
	}, nil
}

// serveRelease merges the crashes that a run ended with and releases its permit.
func (w *Watch) serveRelease(_ context.Context, p PermitRequest) (Empty, error) {
	w.table.MergeCrashes(p.Suspect, p.Crashes)

	if p.Gate == "" || p.Gate == w.self.BootID {
		w.permits.Release(p.Suspect.Digest)
	}

	return Empty{}, nil
}
