package propagation

import (
	"flag"
	"os"
	"testing"
)

// The codec has its own channels, and a channel made inside a synctest bubble can't be
// used in another one. TestMain creates the codec before any bubble starts.
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
