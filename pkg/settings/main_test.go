package settings_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that property tests run the same cases each time.
func TestMain(m *testing.M) {
	flag.Parse()

	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}
