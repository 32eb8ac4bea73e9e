package propagation

import (
	"flag"
	"os"
	"testing"
)

// The codec has channels of its own; it is made before any paused clock, since
// a channel made under one can't be used under another.
func TestMain(m *testing.M) {
	underRaceDetector()
	encoder().EncodeAll([]byte("x"), nil)

	if _, err := decoder().DecodeAll(encoder().EncodeAll([]byte("x"), nil), nil); err != nil {
		panic(err)
	}

	flag.Parse()

	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}
