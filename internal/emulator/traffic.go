package emulator

import "time"

// TrafficChange multiplies the rate of the calls by RateFactor and gives the most popular key to the fraction
// HotKeyShare of the calls. It is in force from From until To; both count from the start of the traffic.
type TrafficChange struct {
	From, To                time.Duration
	RateFactor, HotKeyShare float64
}

// SetTrafficChanges sets the changes of the traffic. It must be called before Run, because the calls must follow from
// the seed alone.
func (e *Emulator) SetTrafficChanges(changes ...TrafficChange) { e.trafficChanges = changes }

// trafficAt returns the rate factor and the fraction of calls that are given the most popular key, at a time since the
// start of the traffic.
func (e *Emulator) trafficAt(at time.Duration) (rateFactor, hotKeyShare float64) {
	rateFactor = 1
	for _, change := range e.trafficChanges {
		if at >= change.From && at < change.To {
			rateFactor *= change.RateFactor
			hotKeyShare = max(hotKeyShare, change.HotKeyShare)
		}
	}
	return rateFactor, hotKeyShare
}
