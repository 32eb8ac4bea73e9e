//go:build race

package slots_test

// raceDetected is set if the tests run with the race detector.
const raceDetected = true
