package simulator

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed makes every run of the tests use the same histories.
const defaultSeed = "20261204"

// TestMain sets the seed, and disables failure files, unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": defaultSeed, "rapid.nofailfile": "true"} {
		given := flag.Lookup(name)
		if given != nil && given.Value.String() == given.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
