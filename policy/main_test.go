// Package policy_test holds the black-box tests of the balancing policy (package policy): they hand it
// events and check the actions that come back and its Stats, and use nothing else of it.
package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestMain fixes the scenarios that rapid draws.
func TestMain(m *testing.M) { rapidseed.Main(m) }
