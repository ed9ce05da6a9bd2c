package scaletest

import (
	"math"

	"fernbeam.example/fernbeam/internal/capacity"
)

// secondsPerDay is the day that the target's rates are of.
const secondsPerDay = 86400

// servicesAt is the number of services of a fleet of a size: the target's in proportion, at least one.
func servicesAt(t *capacity.Target, size int) int {
	services := float64(size) * float64(t.Fleet.Services) / float64(t.Fleet.Agents)
	return max(1, int(math.Round(services)))
}

// expectedEvents is the mean number of events on a day of the plan, of which the target has perDay.
func expectedEvents(t *capacity.Target, perDay float64, size int, p *Plan) float64 {
	return perDay * float64(size) / float64(t.Fleet.Agents) / secondsPerDay * p.Seconds * p.RateFactor
}
