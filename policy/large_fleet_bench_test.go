package policy_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// largeFleetAgents is the number of agents of the largest fleet that the operators name.
	largeFleetAgents = 900
	// requestIntervalMs is the time between two requests of one agent of that fleet.
	requestIntervalMs = 100.0
	// largeFleetLoad is the part of the servers' capacity that the agents' requests take.
	largeFleetLoad = 0.7
	// largeFleetDurationMs is the duration of a simulation of BenchmarkLargeFleetDay.
	largeFleetDurationMs = 30000.0
	// responseTimeMs is how long a server takes to respond.
	responseTimeMs = 60.0
)

// The states of BenchmarkLargeFleetDecision. Their values stand in the recorded results (docs/CAPACITY.md).
const (
	// stateQuiet: the first server serves the request.
	stateQuiet = "quiet"
	// stateRejecting: every other attempt is rejected by an overloaded server.
	stateRejecting = "crowded"
)

// BenchmarkLargeFleetDecision measures the processor time of one request with the settings of 900 agents:
// its arrival, its attempts, their ends, and the ticks that are due until the next request.
func BenchmarkLargeFleetDecision(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		for _, state := range []string{stateQuiet, stateRejecting} {
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				d := newDecisionBenchmark(b, largeFleetAgents, servers)
				overloaded := 0
				if state == stateRejecting {
					overloaded = 2
				}
				b.ResetTimer()
				before := processorTime(b)
				for range b.N {
					d.serveAmongOverloaded(d.anyKey(), overloaded)
				}
				b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// serveAmongOverloaded plays one request of which so many in four attempts find an overloaded server.
func (d *decisionBenchmark) serveAmongOverloaded(key uint64, overloaded int) {
	arrivedAt := d.now
	id := d.request(idempotentClass, key)
	for attempt := 0; d.forwardedTo != (balancer.Addr{}); attempt++ {
		server := d.forwardedTo
		d.forwardedTo = balancer.Addr{}
		status, tookMs := balancer.StatusOK, responseTimeMs
		if d.random.IntN(4) < overloaded {
			status, tookMs = balancer.StatusOverloaded, 1
		}
		d.advance(tookMs)
		d.handle(attemptDone(id, attempt, server, status, tookMs))
	}
	// The request may still be queued.
	d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
	d.advance(max(arrivedAt+requestIntervalMs-d.now, 0))
}

// processorTime is the processor time that the process has used so far. Unlike the wall clock it depends
// little on what else the machine does.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLargeFleetDay simulates fleets without faults, with agents in proportion to servers. It reports
// the part of the requests that is served, the servers that an agent has forwarded to (with at least one
// connection to each), and the memory of a Balancer at the end, with what the simulation has for it. There
// are 40 keys for each server, equally popular or skewed: the share of a key falls with its rank.
func BenchmarkLargeFleetDay(b *testing.B) {
	for _, fleet := range []struct{ agents, servers int }{{56, 200}, {largeFleetAgents, 3200}} {
		for _, keys := range []string{"even", "skewed"} {
			name := fmt.Sprintf("agents=%d/servers=%d/keys=%s", fleet.agents, fleet.servers, keys)
			b.Run(name, func(b *testing.B) {
				for range b.N {
					runLargeFleetDay(b, fleet.agents, fleet.servers, keys == "even")
				}
			})
		}
	}
}

// runLargeFleetDay simulates one fleet and reports its metrics.
func runLargeFleetDay(b *testing.B, agents, servers int, evenKeys bool) {
	b.Helper()
	before := heapInUse()
	s := newFleetSimulation(b, agents, servers, largeFleetLoad)
	s.requestsPerMs = float64(agents) / requestIntervalMs
	s.evenKeys = evenKeys
	for _, server := range s.servers {
		server.requestsPerMs = s.requestsPerMs / largeFleetLoad / float64(servers)
	}
	s.scheduleArrivals()
	s.run(largeFleetDurationMs)
	used := 0
	for _, agent := range s.agents {
		used += len(agent.serversUsed)
	}
	b.ReportMetric(float64(s.served)/float64(s.requests), "served-share")
	b.ReportMetric(float64(used)/float64(agents), "servers-used/agent")
	b.ReportMetric(float64(heapInUse()-before)/float64(agents), "heap-B/agent")
	runtime.KeepAlive(s)
}

// heapInUse is the size of the reachable memory, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
