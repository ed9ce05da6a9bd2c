package agent

import (
	"math"
	"time"
)

const (
	// idleBins is the number of bins of idle time, two for each doubling from 1 ms: up
	// to a minute and more.
	idleBins = 34
	// idleSamples is the number of uses by which a stretch of idle times is judged.
	idleMinSamples = 24
	// idleExcess is how much more often than shorter ones the connections of a stretch
	// must be lost. A new connection costs a handshake; a lost one costs its request.
	idleLossExcess = 0.15
	// idleFade lets uses count less with age, over about 5,000: what closed idle
	// connections early may be gone, and longer ones are tried again.
	idleDecay = 0.9998
)

// idleTimes learns for how long a kept connection may idle before it is often lost.
// Backends, and what stands before them, may close one sooner than the settings say
// and without a sign: then the next request on it ends as a reset, which may have run.
type idleTimeModel struct {
	used, lost [idleBins]float64
}

// note takes the use of a kept connection, lost or not, after it had idled.
func (t *idleTimeModel) record(idled time.Duration, lost bool) {
	for i := range t.used {
		t.used[i] *= idleDecay
		t.lost[i] *= idleDecay
	}
	i := idleBin(idled)
	t.used[i]++
	if lost {
		t.lost[i]++
	}
}

// limit is the shortest idle time from which on connections are lost well more often
// than those that idled for less; most if there is none.
func (t *idleTimeModel) limit(most time.Duration) time.Duration {
	var used, lost, shortUsed, shortLost float64
	from := 0
	for i := range t.used {
		if used += t.used[i]; used < idleMinSamples {
			lost += t.lost[i]
			continue
		}
		lost += t.lost[i]
		if shortUsed >= idleMinSamples && lost/used > shortLost/shortUsed+idleLossExcess {
			return min(most, time.Duration(math.Exp2(float64(from)/2)*float64(time.Millisecond)))
		}
		shortUsed, shortLost = shortUsed+used, shortLost+lost
		used, lost, from = 0, 0, i+1
	}
	return most
}

func idleBin(idled time.Duration) int {
	ms := idled.Seconds() * 1000
	if ms < 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), idleBins-1)
}
