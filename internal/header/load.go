package header

import (
	"net/http"
	"strconv"
	"strings"
)

// Load is what a backend server says of its load. The zero value says nothing.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes on the host at this moment, as a multiple of the usual
	// time; 0 if it is not stated.
	Slowness float64
}

const (
	// loadFigures is the number of figures that each load header has.
	loadFigures = 3
	// usualSlowness is the figure of a host on which work takes as long as usual, in percent.
	usualSlowness = 100
)

// Reported returns the load header of an answer, or the zero value if it is missing or one of its
// figures is invalid. The meaning of a figure depends only on its position. Figures after the
// known ones are ignored.
func (n Names) Reported(h http.Header) Load {
	var figures [loadFigures + 1]int

	parts := strings.Split(h.Get(n.Load), ",")
	if len(parts) < loadFigures {
		return Load{}
	}

	for i, text := range parts[:min(len(parts), len(figures))] {
		f, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
		if err != nil {
			return Load{}
		}

		figures[i] = int(f)
	}

	return Load{
		Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowness: float64(figures[loadFigures]) / usualSlowness,
	}
}
