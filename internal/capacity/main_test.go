package capacity

import (
	"testing"

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestMain fixes rapid's seed, so that all runs of the tests draw the same points and runs.
func TestMain(m *testing.M) { rapidseed.Main(m) }
