// Command driver2 plays one case of the review on a small deployment: nodes as separate processes, and
// stand-ins of the store, the application servers and the requesters in this process.
//
//	driver2 -case quota -program target/pollencart-sidecar -record review/7/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
)

const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

var cases = map[string]func(w *world) int{
	"drain":   drainCase,
	"quota":   quotaCase,
	"smuggle": smuggleCase,
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "Name of the case.")
	program := flag.String("program", "target/pollencart-sidecar", "The node.")
	record := flag.String("record", "record.txt", "File for what was sent, answered and run.")
	keep := flag.Bool("keep", false, "Keep the temporary folder.")
	flag.Parse()

	f := cases[*name]
	if f == nil {
		return fail(fmt.Errorf("no case %q", *name))
	}

	file, err := os.Create(*record)
	if err != nil {
		return fail(err)
	}

	defer func() { _ = file.Close() }()

	out := bufio.NewWriter(file)
	defer func() { _ = out.Flush() }()

	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}

	if *keep {
		fmt.Println(dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}

	w, err := newWorld(dir, *program, os.Getenv("TROUBLE") != "0", out)
	if err != nil {
		return fail(err)
	}

	defer w.stopAll()

	return f(w)
}
