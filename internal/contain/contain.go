// Package contain keeps a panic in the handling of one call or message from ending the process, and
// with it all other calls of the process.
//
// What the function held is not given back by itself: a lock, a slot or a count needs a defer of
// its own.
//
// # Usage
//
//	defer contain.Panic(func(p contain.Caught) { failed = true })
package contain

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"

	"github.com/pollencart/pollencart/internal/invariant"
)

const (
	// maxFrames bounds the callers that are kept of a panic.
	maxFrames = 12
	// maxTextBytes bounds the text of its value, which may quote input of others.
	maxTextBytes = 256
)

// Caught is a panic that did not end the process.
type Caught struct {
	Value any
	// Frames are the functions that were running, the innermost first.
	Frames []string
}

// String describes the panic on one line.
func (c Caught) String() string {
	text := strings.ReplaceAll(fmt.Sprint(c.Value), "\n", " ")

	return text[:min(len(text), maxTextBytes)] + " at " + strings.Join(c.Frames, ", ")
}

// Panic recovers from a panic of the function that deferred it, and reports it. A violated
// invariant goes on, since it must end a test.
func Panic(report func(Caught)) {
	v := recover()
	if v == nil {
		return
	}

	if broken, ok := v.(invariant.Violation); ok {
		panic(broken)
	}

	report(Caught{Value: v, Frames: frames()})
}

// frames returns the functions that were running when the panic began.
func frames() []string {
	const skipped = 3 // runtime.Callers, frames and Panic

	counters := make([]uintptr, maxFrames+skipped)
	list := runtime.CallersFrames(counters[:runtime.Callers(skipped, counters)])

	var out []string

	for {
		f, more := list.Next()
		if f.Function != "" && !strings.HasPrefix(f.Function, "runtime.") {
			out = append(out, f.Function+":"+strconv.Itoa(f.Line))
		}

		if !more || len(out) == maxFrames {
			return out
		}
	}
}
