package upstream

import (
	"math"
	"time"
)

const (
	// idleBins is the number of idle-time bins: two for each doubling from 1 ms, up to more than a minute.
	idleBins = 34
	// idleMinSamples is the number of uses required before a range of idle times is evaluated.
	idleMinSamples = 24
	// idleLossExcess is the maximum by which the loss rate of a range of idle times may exceed that of shorter idle times,
	// as a fraction of uses. Above it, connections are no longer used after such idle times. It weighs two costs: a new
	// connection costs a handshake, and a lost connection costs its request.
	idleLossExcess = 0.15
	// idleDecay is the factor by which each use lowers the weight of the earlier ones, so that about the last 5,000 uses
	// count. Once the cause of early closes is gone, longer idle times must be allowed again.
	idleDecay = 0.9998
)

// idleTimeModel estimates how long a connection can be idle before its loss becomes likely. Servers, and devices in
// front of them, may close a connection earlier than the settings say and without notice. The next request on it then
// ends in a reset, and may have executed.
type idleTimeModel struct {
	used, lost [idleBins]float64
}

// record records that a connection was reused after an idle time, and whether it turned out to be lost.
func (m *idleTimeModel) record(idled time.Duration, lost bool) {
	for i := range m.used {
		m.used[i] *= idleDecay
		m.lost[i] *= idleDecay
	}
	bin := idleBin(idled)
	m.used[bin]++
	if lost {
		m.lost[bin]++
	}
}

// limit returns the idle time at which connections start to be lost clearly more often than after shorter idle times.
// If there is no such time, it returns longest. Adjacent bins are merged until they have enough samples.
func (m *idleTimeModel) limit(longest time.Duration) time.Duration {
	var used, lost, shorterUsed, shorterLost float64
	firstBin := 0
	for i := range m.used {
		used += m.used[i]
		lost += m.lost[i]
		if used < idleMinSamples {
			continue
		}
		if shorterUsed >= idleMinSamples && lost/used > shorterLost/shorterUsed+idleLossExcess {
			return min(longest, binStart(firstBin))
		}
		shorterUsed += used
		shorterLost += lost
		used, lost = 0, 0
		firstBin = i + 1
	}
	return longest
}

// binStart returns the shortest idle time of a bin.
func binStart(bin int) time.Duration {
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Millisecond))
}

// idleBin returns the bin of an idle time.
func idleBin(idled time.Duration) int {
	idleMs := float64(idled) / float64(time.Millisecond)
	if idleMs < 1 {
		return 0
	}
	return min(int(2*math.Log2(idleMs)), idleBins-1)
}
