package header

import (
	"net/http"
	"strconv"
	"strings"
)

// Signals is what a backend server says of itself in an answer.
type Signals struct {
	// Limit is the calls a second that it takes from all nodes together, if Limited is set.
	Limit   float64
	Limited bool
	// Invalid is a limit that is no decimal number, or "". It says nothing of whether there is a
	// limit.
	Invalid string
	// Leaving is set if it is about to end.
	Leaving bool
	Load    Load
}

// maxInvalid is the length of an invalid value, in bytes, that is kept for log lines.
const maxInvalid = 32

// Signals returns what the headers of an answer say of the backend server. Of several limits the
// lowest counts.
func (n Names) Signals(h http.Header) Signals {
	s := Signals{Leaving: strings.TrimSpace(h.Get(n.Leaving)) == "1", Load: n.Reported(h)}

	for _, text := range h.Values(n.Limit) {
		limit, ok := parseDecimal(strings.TrimSpace(text))

		switch {
		case !ok:
			s.Invalid = strconv.Quote(text[:min(len(text), maxInvalid)])
		case !s.Limited || limit < s.Limit:
			s.Limit, s.Limited = limit, true
		}
	}

	return s
}

// parseDecimal parses digits with at most one point. It rejects what [strconv.ParseFloat] accepts
// beyond that: signs, exponents, hexadecimal digits, infinity and NaN.
func parseDecimal(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}

	f, err := strconv.ParseFloat(text, 64)

	return f, err == nil
}
