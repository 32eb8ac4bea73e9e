package poison

import "context"

// Permit names the run that a permit is asked for.
type Permit struct {
	// Gate is the life that saw the crash; another one on its host knows nothing.
	Gate   string `msgpack:"Gate"`
	Digest Digest `msgpack:"Digest"`
}

// Done is an answer.
type Done struct {
	// Granted says that a permit was given, or that a suspect finished.
	Granted bool `msgpack:"Granted"`
}

// ServeReport takes what another gate saw, and says whether the request finished
// here since the crashed call began.
func (w *Watch) ServeReport(_ context.Context, r Report) (Done, error) {
	w.table.Merge([]Report{r})

	return Done{Granted: !r.Cleared && w.recent.has(r.Suspect.Whole, r.Age)}, nil
}

// ServePull tells another gate all that is known here.
func (w *Watch) ServePull(context.Context, Done) ([]Report, error) { return w.table.Reports(), nil }

// ServeTake permits it when nobody else has it.
func (w *Watch) ServeTake(ctx context.Context, l Permit) (Done, error) {
	if l.Gate != w.self.Life {
		return Done{Granted: true}, nil
	}

	return Done{Granted: w.permits.Take(ctx, l.Digest)}, nil
}

// ServeGive takes a permit back.
func (w *Watch) ServeGive(_ context.Context, l Permit) (Done, error) {
	if l.Gate == w.self.Life {
		w.permits.Give(l.Digest)
	}

	return Done{Granted: true}, nil
}
