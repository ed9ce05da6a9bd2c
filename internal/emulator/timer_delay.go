package emulator

import "time"

// timerProbeInterval is the duration of the timers with which measureTimerDelay measures delays.
const timerProbeInterval = 2 * time.Millisecond

// measureTimerDelay records how late timers fire on this machine until the emulator is closed.
func (e *Emulator) measureTimerDelay() {
	for {
		start := time.Now()
		select {
		case <-time.After(timerProbeInterval):
			e.recordTimerDelay(time.Since(start) - timerProbeInterval)
		case <-e.closed:
			return
		}
	}
}

// recordTimerDelay records how late a timer fired.
func (e *Emulator) recordTimerDelay(d time.Duration) {
	e.timerMu.Lock()
	defer e.timerMu.Unlock()
	recordDelay(e.timerDelays, d)
}

// timerDelayQuantiles returns the 99th percentile and the maximum of the timer delays.
func (e *Emulator) timerDelayQuantiles() (p99, worst time.Duration) {
	e.timerMu.Lock()
	defer e.timerMu.Unlock()
	p99 = percentile(e.timerDelays, percentile99)
	worst = time.Duration(e.timerDelays.Max()) * time.Microsecond
	return p99, worst
}
