// Package rapidseed makes property tests that use pgregory.net/rapid reproducible.
package rapidseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	// unset is the value of the flag without which rapid draws a new seed at each run.
	unset = "0"
	fixed = "1"
)

// Main is the TestMain of a package: it fixes the seed, runs the package's tests and ends the process.
func Main(m *testing.M) {
	if err := Fix(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// Fix parses the command line and sets the seed that rapid draws from to a fixed value, so that every
// run gives the same verdict. The flags -rapid.seed=N and -rapid.checks=N still draw others, and more
// of them. It has to be called before the tests run.
func Fix() error {
	flag.Parse()
	seed := flag.Lookup(seedFlag)
	if seed == nil || seed.Value.String() != unset {
		return nil
	}
	if err := seed.Value.Set(fixed); err != nil {
		return fmt.Errorf("-%s: %w", seedFlag, err)
	}
	return nil
}
