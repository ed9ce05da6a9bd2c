package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// sharedTime is how long two processes run side by side before the first is told to end.
	sharedTime = 2 * time.Second
	// samplePause is the interval at which their memory is read.
	samplePause = 20 * time.Millisecond
)

// Two processes of an upgrade stay within the memory limit together, beside a crowd. The pages of the program, which
// they share, count once.
func TestUpgradeBesideACrowdStaysWithinTheMemoryLimit(t *testing.T) {
	binary := buildAgent(t)
	running := make(chan struct{}, parallelCrowds)
	for _, form := range crowdForms() {
		t.Run(form.name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			listener := newSharedListener(t)
			var servers []endpoint.Endpoint
			for i := range crowdServers {
				addr := startServer(t, crowdServer(form.slowServers))
				servers = append(servers, listedServer(fmt.Sprintf("s-%d", i), addr))
			}
			config := newConfig(silentDiscovery(t), servers...)
			config.Listen = listener.addr
			config.Management = anyAddress
			config.Limits.MemoryMB = floodMemoryMB
			config.Limits.Sockets = crowdSockets
			before := listener.start(t, newMeasuredProgram(t, binary, config))
			crowd := startCrowd(t.Context(), listener.addr, form, form.clients)
			defer crowd.stop()
			time.Sleep(sharedTime) // until the first process has its share of the crowd
			after := listener.start(t, newMeasuredProgram(t, binary, config))
			peak := peakTogether(before, after, sharedTime)
			before.signal(t, syscall.SIGTERM)
			peak = max(peak, peakTogether(before, after, sharedTime))
			t.Logf("peak %.1f MB", float64(peak)/bytesPerMB)
			if peak > floodMemoryMB*bytesPerMB {
				t.Errorf("memory of both processes above the limit of %d MB", floodMemoryMB)
			}
			for _, p := range []*program{before, after} {
				_ = p.cmd.Process.Kill() // the first may have ended
				p.awaitEnd(t)
			}
		})
	}
}

// peakTogether returns the most memory of two processes within a time. A process that has ended has none.
func peakTogether(first, second *program, during time.Duration) (peak int64) {
	for until := time.Now().Add(during); time.Now().Before(until); time.Sleep(samplePause) {
		var anonymous, files int64
		for _, p := range []*program{first, second} {
			pid := p.cmd.Process.Pid
			own, err := processtest.StatusBytes(pid, processtest.AnonymousMemory)
			if err != nil {
				continue
			}
			shared, _ := processtest.StatusBytes(pid, processtest.FileMemory) // as above
			anonymous += own
			files = max(files, shared)
		}
		peak = max(peak, anonymous+files)
	}
	return peak
}
