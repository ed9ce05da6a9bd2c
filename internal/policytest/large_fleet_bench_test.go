package policytest

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
	// requestInterval is the time in ms between two requests of one agent of that fleet.
	requestIntervalMs = 100.0
	// largeFleetLoad is the part of the servers' capacity that the agents' requests take.
	largeFleetLoad = 0.7
	// largeFleetDay is the length in ms of a day of BenchmarkLargeFleetDay.
	largeFleetDurationMs = 30000.0
	// answerTime is how long in ms a server takes to answer.
	responseTimeMs = 60.0
)

// BenchmarkLargeFleetDecision is what one request costs the module with the settings of 900 agents: its
// arrival, its attempts, their outcomes, and the ticks that fall due until the next request. quiet: the
// first server answers. crowded: every other attempt is turned away by a full server.
func BenchmarkLargeFleetDecision(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		for _, state := range []string{"quiet", "crowded"} {
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				d := newDecisionBenchmark(b, largeFleetAgents, servers)
				full := 0
				if state == "crowded" {
					full = 2
				}
				b.ResetTimer()
				before := processorTime(b)
				for range b.N {
					d.serveAmongOverloaded(d.anyKey(), full)
				}
				b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

// serveAmongFull plays one request of which full in four attempts find a full server.
func (d *decisionBenchmark) serveAmongOverloaded(key uint64, full int) {
	came := d.now
	id := d.request(0, key)
	for attempt := 0; d.forwardedTo != (balancer.Addr{}); attempt++ {
		server := d.forwardedTo
		d.forwardedTo = balancer.Addr{}
		status, took := balancer.StatusOK, responseTimeMs
		if d.random.IntN(4) < full {
			status, took = balancer.StatusOverloaded, 1
		}
		d.advance(took)
		d.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: id, Attempt: attempt, Server: server,
			Status:    status,
			LatencyMs: took, RequestDone: status == balancer.StatusOK})
	}
	d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id}) // a request that is still held for room
	d.advance(max(came+requestIntervalMs-d.now, 0))
}

// processorTime is what the process has used so far: unlike the wall clock it tells little of what else
// the machine does.
func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLargeFleetDay is a quiet day of whole fleets in one virtual time, agents in proportion to servers:
// the share served, the servers that an agent sent something to (it opened at least one connection to each)
// and the memory that a Balancer holds at the end, with what the day keeps for it. Keys are as many as 40 for
// each server, equally popular or skewed: the share of one falls as its rank grows.
func BenchmarkLargeFleetDay(b *testing.B) {
	for _, fleet := range []struct{ agents, servers int }{{56, 200}, {largeFleetAgents, 3200}} {
		for _, keys := range []string{"even", "skewed"} {
			b.Run(fmt.Sprintf("agents=%d/servers=%d/keys=%s", fleet.agents, fleet.servers, keys), func(b *testing.B) {
				for range b.N {
					runLargeFleetDay(b, fleet.agents, fleet.servers, keys == "even")
				}
			})
		}
	}
}

func runLargeFleetDay(b *testing.B, agents, servers int, evenKeys bool) {
	before := heapInUse()
	d := newFleetSimulation(b, 1, agents, servers, largeFleetLoad)
	d.requestsPerMs, d.evenKeys = float64(agents)/requestIntervalMs, evenKeys
	for _, s := range d.servers {
		s.requestsPerMs = d.requestsPerMs / largeFleetLoad / float64(servers)
	}
	d.scheduleArrivals()
	d.run(largeFleetDurationMs)
	used := 0
	for _, a := range d.agents {
		used += len(a.serversUsed)
	}
	b.ReportMetric(float64(d.served)/float64(d.requests), "served-share")
	b.ReportMetric(float64(used)/float64(agents), "servers-used/agent")
	b.ReportMetric(float64(heapInUse()-before)/float64(agents), "heap-B/agent")
	runtime.KeepAlive(d)
}

// heapInUse is the memory that is reachable.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
