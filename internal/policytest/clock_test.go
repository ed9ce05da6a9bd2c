package policytest

import (
	"testing"

	. "clayproxy.example/clayproxy/internal/events"
)

// What is told again of the same process changes nothing: the module decides as if nothing were told.
func TestSameStartToldAgainKeepsWhatIsKnown(t *testing.T) {
	for _, since := range []float64{0, -100, 3_600_000} { // long ago, of late, ahead of the agent's clock
		share := func(tell bool) int {
			r := newRig(t, testSettings(), 5)
			entry := Entry{Server: addr(4), Health: Ready, Weight: 1}
			if since != 0 {
				entry.SinceMs = r.now + since
			}
			r.list(ListDelta, entry)
			got := 0
			for range 20 {
				got += r.newKeys(20, 2, addr(4))
				if tell {
					r.list(ListDelta, entry)
				}
			}
			return got
		}
		if got, want := share(true), share(false); got != want {
			t.Errorf("start of %v ms: told again and again the server got %d of 400 requests, want %d", since, got, want)
		}
	}
}
