// Command driver plays one case of the review on real processes and stand-ins on loopback addresses.
//
// Usage: driver CASE RECORD, in the root of the repository. With TROUBLE=0 in the environment it plays the
// same without the disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenario plays a case and returns held or broken.
type scenario func(ctx context.Context, r *record, dir string, trouble bool) (int, error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"overlap": overlap,
		"poison":  poison,
		"leaving": leaving,
		"uploads": large,
	}
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scenarios()[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")

		return couldNot
	}

	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return couldNot
	}

	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return couldNot
	}

	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}

	go endOnSignal(dir)

	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	defer cancel()

	result, err := scenarios()[os.Args[1]](ctx, r, dir, os.Getenv("TROUBLE") != "0")
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}

	if err != nil {
		r.note("could not run: %v", err)

		result = couldNot
	}

	r.note("result %d", result)
	r.write()

	return result
}

// endOnSignal ends all processes that this one started if it is asked to end.
func endOnSignal(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals

	started.mu.Lock()
	defer started.mu.Unlock()

	for _, p := range started.all {
		_ = p.Kill() // it may have ended
	}

	_ = os.RemoveAll(dir)
	os.Exit(couldNot)
}
