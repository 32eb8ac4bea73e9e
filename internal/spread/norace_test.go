//go:build !race

package spread

func underRaceDetector() {}
