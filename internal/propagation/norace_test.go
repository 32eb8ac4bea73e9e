//go:build !race

package propagation

func underRaceDetector() {}
