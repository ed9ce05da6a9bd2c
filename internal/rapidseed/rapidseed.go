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
	// unsetSeed is the flag's default value, with which rapid chooses a new seed for each run.
	unsetSeed = "0"
	fixedSeed = "1"
)

// Main implements a package's TestMain: it fixes the seed, runs the package's tests and exits.
func Main(m *testing.M) {
	if err := Fix(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// Fix parses the command line and sets rapid's seed to a fixed value unless -rapid.seed is given, so that
// every run checks the same cases and has the same result. The flags -rapid.seed=N and -rapid.checks=N
// still select other cases and more of them. Fix has to be called before the tests run.
func Fix() error {
	flag.Parse()
	seed := flag.Lookup(seedFlag)
	if seed == nil || seed.Value.String() != unsetSeed {
		return nil
	}
	if err := seed.Value.Set(fixedSeed); err != nil {
		return fmt.Errorf("-%s: %w", seedFlag, err)
	}
	return nil
}
