package emulator

import "time"

// TrafficChange multiplies the rate of the calls by RateFactor and gives a part HotKeyShare of them the most popular
// key. From and To count from the start of the traffic.
type TrafficChange struct {
	From, To                time.Duration
	RateFactor, HotKeyShare float64
}

// SetTrafficChanges sets how the traffic changes. It has to be called before Run, so that the calls follow from the
// seed alone.
func (e *Emulator) SetTrafficChanges(changes ...TrafficChange) { e.trafficChanges = changes }

// trafficAt returns the factor of the rate, and the part of the calls with the most popular key, at a time of the
// traffic.
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
