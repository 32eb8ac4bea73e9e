//go:build race

package propagation

import "runtime"

// underRaceDetector limits the tests to one processor. With more, the race detector
// occasionally ends the process ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346"),
// most likely since timers of one synctest bubble run on several processors in one
// context of the detector. Races are still found, since the detector evaluates the
// order of synchronization and not of time.
func underRaceDetector() { runtime.GOMAXPROCS(1) }
