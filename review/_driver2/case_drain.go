package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainBound = 2 * time.Second // drain-s
	// servesOn is how long the leaving server serves after its confirmation.
	servesOn = 9 * time.Second
	// beatDelay is how late its last heartbeat arrives.
	beatDelay = 4 * time.Second
	// drainOutage is how long the store does not answer.
	drainOutage   = 3 * time.Second
	leaveAfter    = 300 * time.Millisecond // of the start of the outage
	confirmWithin = 1500 * time.Millisecond
)

// drainCase has a server leave while the store is away, and the process beside it killed after it has confirmed that.
func drainCase(w *world) int {
	w.store.silent = true
	w.store.write("op/config", poisonConfig(7))

	for i := range 8 {
		w.addNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%4+1), "desk", 9, 30*time.Millisecond)
	}

	if err := w.startAll(); err != nil {
		return fail(err)
	}

	time.Sleep(wavePause)

	end := make(chan struct{})

	var usual sync.WaitGroup

	for _, n := range w.nodes {
		usual.Go(func() { w.usualTraffic(n, end) })
	}

	time.Sleep(2 * time.Second)

	leaving := w.nodes[0].server
	began := time.Now()

	if w.trouble {
		w.note("the store does not answer")
		w.store.setDown(true)
	}

	time.Sleep(leaveAfter)

	// The network delays the last heartbeat. Its sender waits for the answer for a second only.
	late := leaving.beat()
	lateAt := time.Now().Add(beatDelay)
	instance, confirmed := leaving.deregister(confirmWithin)

	if !confirmed {
		return fail(fmt.Errorf("the leaving of %s was not confirmed", instance))
	}

	confirmedAt := time.Now()
	w.note("the leaving of %s is confirmed", instance)

	touchAt := confirmedAt

	if w.trouble {
		w.note("the process of %s is killed", w.nodes[0].name)
		w.nodes[0].kill()
		time.Sleep(downTime)
		w.note("the process of %s is started again", w.nodes[0].name)

		if err := w.nodes[0].start(); err != nil {
			return fail(err)
		}

		time.Sleep(time.Until(began.Add(drainOutage)))
		w.note("the store answers again")
		w.store.setDown(false)

		touchAt = time.Now().Add(stabilityWindow)
	}

	time.Sleep(time.Until(lateAt))

	if err := deliver(late); err != nil {
		return fail(err)
	}

	w.note("the late heartbeat of %s arrives", instance)

	time.Sleep(time.Until(confirmedAt.Add(servesOn)))
	leaving.exit()
	w.note("%s ends", instance)
	close(end)
	usual.Wait()

	return w.judgeDrain(instance, confirmedAt, touchAt)
}

// judgeDrain counts the requests that reached the leaving server too late, while all machines were in touch.
func (w *world) judgeDrain(instance string, confirmedAt, touchAt time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	all, inTouch := 0, 0

	for _, r := range w.runs {
		if r.instance != instance || r.at.Sub(confirmedAt) <= drainBound {
			continue
		}

		all++

		if r.at.After(touchAt) {
			inTouch++
		}
	}

	text := fmt.Sprintf("%d requests reached %s later than %s after the confirmation, %d of them while all machines were in touch",
		all, instance, drainBound, inTouch)
	w.line(time.Now(), "%s", text)
	fmt.Println("DRAIN: " + text)

	if inTouch > 0 {
		return broken
	}

	return held
}
