//go:build race

package propagation

import "runtime"

// underRaceDetector runs the fleets of a bubble on one processor. With more, the
// detector itself ends the process now and then ("ThreadSanitizer: CHECK failed:
// tsan_rtl.cpp:346"), most likely since timers of one bubble run on several
// processors in one context of the detector. Races are found all the same: the
// detector looks at the order of synchronization, not of time.
func underRaceDetector() { runtime.GOMAXPROCS(1) }
