package scaletest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minIdleFraction is the minimum fraction of idle processor time in a valid run.
	minIdleFraction = 0.10
	// maxTimerDelay is the maximum p99 delay of this process's timers in a valid run.
	maxTimerDelay = 20 * time.Millisecond
	// timerInterval is the interval of the timers that are observed.
	timerInterval = 10 * time.Millisecond
	// maxRecordedDelayUs is the largest delay in the histogram, in µs. Longer delays are recorded with this value.
	maxRecordedDelayUs = 60_000_000
	// percent converts a fraction to a percentage.
	percent = 100
)

// Precision and percentiles of the histograms of delays and latencies.
const (
	histogramDigits = 3 // significant digits
	percentile50    = 50
	percentile99    = 99
)

// machineMonitor observes whether this machine has enough processor time for a run, by the machine's idle time and by
// the delays of this process's timers.
type machineMonitor struct {
	start       processorTicks
	timerDelays *hdrhistogram.Histogram // µs; owned by the goroutine until stopped is closed
	stop        chan struct{}
	stopped     chan struct{}
}

// startMachineMonitor starts a goroutine that observes timers. The caller must call finish, which ends it.
func startMachineMonitor() (*machineMonitor, error) {
	ticks, err := machineTicks()
	if err != nil {
		return nil, err
	}
	m := &machineMonitor{
		start:       ticks,
		timerDelays: hdrhistogram.New(1, maxRecordedDelayUs, histogramDigits),
		stop:        make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	go func() {
		defer close(m.stopped)
		m.observeTimers()
	}()
	return m, nil
}

// observeTimers records the delays of timers until stop is closed.
func (m *machineMonitor) observeTimers() {
	for {
		due := time.Now().Add(timerInterval)
		select {
		case <-time.After(timerInterval):
			delay := min(maxRecordedDelayUs, max(1, time.Since(due).Microseconds()))
			_ = m.timerDelays.RecordValue(delay) // the value is within the histogram's range
		case <-m.stop:
			return
		}
	}
}

// finish ends the observation. problems are the reasons why the run is invalid; there are none if it is valid.
func (m *machineMonitor) finish() (problems []string, err error) {
	close(m.stop)
	<-m.stopped
	end, err := machineTicks()
	if err != nil {
		return nil, err
	}
	idle := (end.idle - m.start.idle) / (end.total - m.start.total)
	if idle < minIdleFraction {
		problems = append(problems, fmt.Sprintf("the machine was idle for %.1f %% of its time, under %.0f %%",
			percent*idle, percent*minIdleFraction))
	}
	delay := time.Duration(m.timerDelays.ValueAtQuantile(percentile99)) * time.Microsecond
	if delay > maxTimerDelay {
		problems = append(problems, fmt.Sprintf("this program's timers were late by %v at p99, over %v",
			delay, maxTimerDelay))
	}
	return problems, nil
}

// processorTicks is the processor time of this machine since it started, in clock ticks.
type processorTicks struct{ idle, total float64 }

// Columns of the first line of /proc/stat (proc(5)). The times from guestColumn on are already included in the user and
// nice times.
const (
	idleColumn   = 3
	ioWaitColumn = 4
	guestColumn  = 8
)

// machineTicks reads the processor time of this machine (proc(5), stat).
func machineTicks() (processorTicks, error) {
	var ticks processorTicks
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return ticks, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for column, field := range strings.Fields(line)[1:] {
		var v float64
		if _, err := fmt.Sscan(field, &v); err != nil {
			return ticks, fmt.Errorf("/proc/stat: %q: %w", line, err)
		}
		if column < guestColumn {
			ticks.total += v
		}
		if column == idleColumn || column == ioWaitColumn {
			ticks.idle += v
		}
	}
	if ticks.total == 0 {
		return ticks, errors.New("/proc/stat: processor times are missing")
	}
	return ticks, nil
}
