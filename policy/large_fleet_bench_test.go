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
	// largeFleetAgents is the number of agents in the largest fleet of the operators' requirements.
	largeFleetAgents = 900
	// requestIntervalMs is the interval between two requests of one agent in that fleet.
	requestIntervalMs = 100.0
	// largeFleetLoad is the load of the requests as a fraction of the servers' capacity.
	largeFleetLoad = 0.7
	// largeFleetDurationMs is the duration of a simulation of BenchmarkLargeFleetDay.
	largeFleetDurationMs = 30000.0
	// responseTimeMs is the response time of a server.
	responseTimeMs = 60.0
)

// The states of BenchmarkLargeFleetDecision. Their values are part of the recorded results in
// docs/CAPACITY.md.
const (
	// stateQuiet: the first server serves the request.
	stateQuiet = "quiet"
	// stateRejecting: every other attempt is rejected by an overloaded server.
	stateRejecting = "crowded"
)

// BenchmarkLargeFleetDecision measures the processor time of one request in a fleet of 900 agents: its
// arrival, its attempts, their ends, and the ticks that are due until the next request.
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
					d.serveAmongOverloaded(d.randomKey(), overloaded)
				}
				b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// serveAmongOverloaded simulates one request. Each attempt is rejected by an overloaded server with a
// probability of overloaded/4.
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

// processorTime returns the processor time that the process has used so far. Unlike the elapsed time it
// depends little on the other load of the machine.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLargeFleetDay simulates fleets without faults, with agents in proportion to servers. It
// reports the fraction of the requests that are served, and the mean number of servers to which an agent
// has forwarded requests; each of these servers takes at least one connection. It also reports the memory
// per Balancer at the end, which includes the Balancer's share of the simulation. There are 40 keys per
// server. Either all keys are equally popular, or the share of a key decreases with its rank.
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

// heapInUse returns the size of the reachable heap memory, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
