package poison

import (
	"context"
	"errors"

	"github.com/pollencart/pollencart/internal/peer"
)

// Methods between gates.
const (
	MethodTell = "Poison.Tell"
	MethodPull = "Poison.Pull"
	MethodTake = "Poison.Take"
	MethodGive = "Poison.Give"
)

// News is what one gate tells another.
type News struct {
	Reports []Report `msgpack:"Reports"`
}

// Heard is the answer to News.
type Heard struct {
	// Finished are the suspects that ran to their end at the gate that was told since
	// the crashed calls began.
	Finished []Suspect `msgpack:"Finished"`
	// Known is what the gate that was told knew of the same requests. It may have seen a
	// crash while it was cut off.
	Known []Report `msgpack:"Known"`
}

// Permit names the run that a permit is asked for.
type Permit struct {
	// Gate is the life that saw the crash; another one on its host knows nothing. It is
	// empty if that one is gone and the gate that is asked stands in.
	Gate    string  `msgpack:"Gate"`
	Service string  `msgpack:"Service"`
	Suspect Suspect `msgpack:"Suspect"`
	Crashes []Crash `msgpack:"Crashes"`
}

// Permitted is the answer to who asks for a permit.
type Permitted struct {
	Granted bool `msgpack:"Granted"`
	// Gone says that the life that saw the crash has ended, Untold that not all gates
	// know of it.
	Gone   bool `msgpack:"Gone"`
	Untold bool `msgpack:"Untold"`
	// Crashes are those that count.
	Crashes []Crash `msgpack:"Crashes"`
}

func (p Permitted) err() error {
	switch {
	case p.Granted:
		return nil
	case p.Gone:
		return errGone
	case p.Untold:
		return errUntold
	}

	return errTaken
}

// Done is an empty message.
type Done struct{}

// Handlers returns what other gates may ask, by method.
func (w *Watch) Handlers() map[string]peer.Handler {
	return map[string]peer.Handler{
		MethodTell: peer.Typed(w.serveTell),
		MethodPull: peer.Typed(w.servePull),
		MethodTake: peer.Typed(w.serveTake),
		MethodGive: peer.Typed(w.serveGive),
	}
}

// serveTell takes what another gate saw, and says what is known of the requests here, and
// which of them finished since their crashed calls began.
func (w *Watch) serveTell(_ context.Context, n News) (Heard, error) {
	out := Heard{Known: w.table.Known(n.Reports)}

	w.table.Merge(n.Reports)

	for _, r := range n.Reports {
		if len(r.Crashes) > 0 && r.Age > 0 && w.recent.has(r.Suspect.Whole, r.Age) {
			out.Finished = append(out.Finished, r.Suspect)
		}
	}

	return out, nil
}

// servePull tells another gate all that is known here.
func (w *Watch) servePull(context.Context, Done) ([]Report, error) { return w.table.Reports(), nil }

// serveTake permits a run when nobody else has the permit.
func (w *Watch) serveTake(ctx context.Context, p Permit) (Permitted, error) {
	if p.Gate != "" && p.Gate != w.self.Life {
		return Permitted{Gone: true}, nil
	}

	err := w.permit(ctx, p)

	return Permitted{
		Granted: err == nil, Untold: errors.Is(err, errUntold),
		Crashes: w.table.Crashes(p.Suspect.Digest),
	}, nil
}

// serveGive takes a permit back, after what came of the run.
func (w *Watch) serveGive(_ context.Context, p Permit) (Done, error) {
	w.table.Heard(p.Suspect, p.Crashes)

	if p.Gate == "" || p.Gate == w.self.Life {
		w.permits.Give(p.Suspect.Digest)
	}

	return Done{}, nil
}
