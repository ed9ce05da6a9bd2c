package rapidseed_test

import (
	"flag"
	"testing"

	_ "pgregory.net/rapid" // registers its flags

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestFix checks that an unset seed is fixed and that one from the command line is kept.
func TestFix(t *testing.T) {
	for _, c := range []struct{ name, before, after string }{
		{"unset", "0", "1"},
		{"given", "7", "7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := flag.Set("rapid.seed", c.before); err != nil {
				t.Fatal(err)
			}
			if err := rapidseed.Fix(); err != nil {
				t.Fatal(err)
			}
			if got := flag.Lookup("rapid.seed").Value.String(); got != c.after {
				t.Errorf("the seed is %s, want %s", got, c.after)
			}
		})
	}
}
