package simulator

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed gives every run of the tests the same histories.
const defaultSeed = "20261204"

// TestMain fixes the seed unless the command line names one.
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
