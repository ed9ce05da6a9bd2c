package capacity

import (
	"testing"

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestMain fixes the points and runs that rapid draws.
func TestMain(m *testing.M) { rapidseed.Main(m) }
