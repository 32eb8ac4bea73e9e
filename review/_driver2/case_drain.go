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
	// leaveAfter is how much older the copy is than the leaving.
	leaveAfter    = 300 * time.Millisecond
	confirmWithin = 1500 * time.Millisecond
	// awayAfter is when the store goes away after the confirmation, storeAway for how long.
	awayAfter = 200 * time.Millisecond
	storeAway = time.Second
)

// drainCase has the store come back from a copy that is older than a confirmed leaving, and the process that
// confirmed it killed.
func drainCase(w *world) int {
	w.store.write("op/config", deskConfig(7))

	for i := range 8 {
		w.addNode(fmt.Sprintf("sidecar-%d", i+1), fmt.Sprintf("zone-%d", i%4+1), "desk", 9, 30*time.Millisecond)
	}

	if err := w.startAll(); err != nil {
		return fail(err)
	}

	time.Sleep(settleTime)

	end := make(chan struct{})

	var usual sync.WaitGroup

	for _, n := range w.nodes {
		usual.Go(func() { w.usualTraffic(n, end) })
	}

	time.Sleep(2 * time.Second)

	leaving := w.nodes[0].server
	older := w.store.copy()

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
		if err := w.drill(older); err != nil {
			return fail(err)
		}

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

// drill kills the process that confirmed the leaving, and brings the store back from a copy. It returns when the
// process was started again.
func (w *world) drill(older snapshot) error {
	n := w.nodes[0]

	w.note("the process of %s is killed", n.name)
	n.kill()
	killedAt := time.Now()

	time.Sleep(awayAfter)
	w.note("the store is away")
	w.store.setDown(true)
	time.Sleep(storeAway)
	w.store.restore(older)
	w.store.setDown(false)
	w.note("the store is back from a copy of before the leaving")

	time.Sleep(time.Until(killedAt.Add(downTime + awayAfter + storeAway)))
	w.note("the process of %s is started again", n.name)

	return n.start()
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
