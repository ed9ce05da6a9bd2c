package scaletest

import (
	"math"

	"fernbeam.example/fernbeam/internal/capacity"
)

// secondsPerDay is the length of the day that the target's rates count events in.
const secondsPerDay = 86400

// servicesAt is the number of services of a fleet of a size: the target's in proportion, at least one.
func servicesAt(t *capacity.Target, size int) int {
	services := float64(size) * float64(t.Fleet.Services) / float64(t.Fleet.Agents)
	return max(1, int(math.Round(services)))
}

// expectedEvents is the mean number of events in a run of the plan, of which the target has perDay in a day.
func expectedEvents(t *capacity.Target, perDay float64, size int, p *Plan) float64 {
	return perDay * float64(size) / float64(t.Fleet.Agents) / secondsPerDay * p.Seconds * p.RateFactor
}
