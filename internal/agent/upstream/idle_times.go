package upstream

import (
	"math"
	"time"
)

const (
	// idleBins is the number of bins of idle time, two for each doubling from 1 ms: up to more than a minute.
	idleBins = 34
	// idleMinSamples is the number of uses by which a range of idle times is judged.
	idleMinSamples = 24
	// idleLossExcess is how much more often than shorter ones the connections of a range must be lost, as a
	// fraction of their uses. A new connection costs a handshake; a lost one costs its request.
	idleLossExcess = 0.15
	// idleDecay lowers the weight of older uses, over about 5,000: what closed idle connections early may be
	// gone, and longer idle times are then used again.
	idleDecay = 0.9998
)

// idleTimeModel learns for how long a kept connection may be idle before it is often lost. Servers, and devices
// before them, may close one sooner than the settings say and without a sign: then the next request on it ends
// as a reset, which may have executed.
type idleTimeModel struct {
	used, lost [idleBins]float64
}

// record records the use of a kept connection, lost or not, after its idle time.
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

// limit is the shortest idle time from which on connections are lost clearly more often than those that were
// idle for less; longest if there is none. Neighbouring bins are joined until they have enough samples.
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

// binStart is the shortest idle time of a bin.
func binStart(bin int) time.Duration {
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Millisecond))
}

func idleBin(idled time.Duration) int {
	idleMs := float64(idled) / float64(time.Millisecond)
	if idleMs < 1 {
		return 0
	}
	return min(int(2*math.Log2(idleMs)), idleBins-1)
}
