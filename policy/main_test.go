// Package policy_test contains the black-box tests of package policy. They pass events to a Balancer, and
// check the actions that it returns and its Stats.
package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestMain fixes the seed of the scenarios that rapid draws.
func TestMain(m *testing.M) { rapidseed.Main(m) }
