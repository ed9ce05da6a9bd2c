package scaletest

import (
	"math"

	"fernbeam.example/fernbeam/internal/capacity"
)

// secondsPerDay converts the target's rates, which are per day.
const secondsPerDay = 86400

// servicesAt returns the number of services for a fleet size: the target's number scaled to the size, at least one.
func servicesAt(t *capacity.Target, size int) int {
	services := float64(size) * float64(t.Fleet.Services) / float64(t.Fleet.Agents)
	return max(1, int(math.Round(services)))
}

// expectedEvents returns the mean number of events in a run of the plan if the target has perDay of them each day.
func expectedEvents(t *capacity.Target, perDay float64, size int, p *Plan) float64 {
	return perDay * float64(size) / float64(t.Fleet.Agents) / secondsPerDay * p.Seconds * p.RateFactor
}
