package policytest

import (
	"fmt"
	"os"
	"testing"

	"fernbeam.example/fernbeam/internal/rapidseed"
)

// TestMain fixes the scenarios that rapid draws (see rapidseed).
func TestMain(m *testing.M) {
	if err := rapidseed.Fix(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
