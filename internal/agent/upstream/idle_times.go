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
	// idleLossExcess is by how much the loss rate of a range of idle times must exceed that of shorter ones, as a
	// fraction of uses. A new connection costs a handshake; a lost one costs its request.
	idleLossExcess = 0.15
	// idleDecay lowers the weight of older uses, over about 5,000 uses: once the cause of early closes is gone,
	// longer idle times must be allowed again.
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

// limit returns the shortest idle time from which connections are lost clearly more often than after shorter ones, or
// longest if there is none. Adjacent bins are merged until they have enough samples.
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
