package policytest

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the scenarios that rapid draws, so that every run gives the same result;
// -rapid.seed=N plays others, and -rapid.checks=N more of them.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
