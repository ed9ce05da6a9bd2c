package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// pathRate is the average number of calls per second of an agent at the target load in two years (deploy/target.toml).
const pathRate = 120

// maxDescriptors is high enough that it does not limit the agent's idle connections.
const maxDescriptors = 4096

// BenchmarkPath measures the latency that an agent adds to a call. It makes b.N calls through an agent and b.N calls
// directly to the same servers, concurrently in one run. Both are open loops with exponentially distributed gaps, at
// pathRate each. With -benchtime 2400x a run takes 20 s and has 24 calls above each p99; -count shows the spread.
//
// What could distort the results, and how the benchmark deals with it:
//   - Cold start: the agent has its initial concurrency limits, no baseline latency and no connections. The calls of
//     warmUpCalls precede the measurement for this reason.
//   - Affinity keys are random, so that calls are spread evenly over the servers. With 1,500 servers and 120 calls per
//     second a server is called every 12.5 s on average, and connections stay idle for 15 s at most (half of
//     keepaliveMs): a fraction of e^-1.2, about 0.3, of the calls opens a connection. The direct client selects servers
//     at random and has the same idle timeout, so it opens as many connections; both counts are reported. The agent
//     does not reuse a connection within 20 ms of its last call (minIdleTime of the upstream package); the direct
//     client does.
//   - The descriptor limit does not limit idle connections (see maxDescriptors).
//   - FleetSize is the number of servers, as if each had its own agent. The concurrency limits depend on it.
//   - Client, agent and servers are one process that uses GOMAXPROCS processors (the suffix of the benchmark names).
//     They share a garbage collector, and the agent is not limited to one core. The results include no context
//     switches between processes, and no other load of a shared machine.
//   - Servers respond immediately, so that the direct path is the bare cost of a loopback call. The latency of a call
//     counts from its start and not from when it was due. late-p99-us is the p99 of the difference, which is the
//     same on both paths and so not part of the added latency.
//   - added-p99-us is the difference of the two p99 of one run, not the p99 of the differences.
func BenchmarkPath(b *testing.B) {
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // otherwise the log would mix with the results
	for _, servers := range []int{10, 100, 1500} {
		var comparison *pathComparison
		b.Run(fmt.Sprintf("servers=%d", servers), func(sub *testing.B) {
			if comparison == nil { // shared by all values of b.N and all repeats of -count
				comparison = newPathComparison(b, servers)
				comparison.run(b, warmUpCalls(servers))
			}
			comparison.measure(sub)
		})
		if comparison != nil {
			comparison.agent.stop()
		}
	}
}

// warmUpCalls returns how many calls are made before the measurement. They suffice for a steady number of connections:
// after at most 15 s (1,800 calls), as many connections are closed as are opened.
func warmUpCalls(servers int) int { return min(240+5*servers, 1800) }

// pathComparison is a client that calls the same servers through an agent and directly.
type pathComparison struct {
	agent   *testAgent
	through *requestPath
	direct  *requestPath
}

// requestPath is either the path through the agent or the direct path. It makes an open loop of calls and holds their
// measurements.
type requestPath struct {
	client   *http.Client
	random   *rand.Rand
	nextAddr func() string // returns the address for the next call
	connects atomic.Int64  // connections opened by the client

	mu     sync.Mutex
	took   *hdrhistogram.Histogram // latency of calls
	late   *hdrhistogram.Histogram // delay of calls after the time at which they were due
	failed int
}

// newPathComparison starts the given number of servers, and an agent for them.
func newPathComparison(b *testing.B, servers int) *pathComparison {
	b.Helper()
	list := make([]endpoint.Endpoint, servers)
	for i := range list {
		list[i] = agenttest.Endpoint(fmt.Sprintf("s-%d", i), agenttest.NewServer(b, agenttest.RespondOK).Addr)
	}
	agent := startAgent(b, agenttest.NewDiscovery(b, list...), func(cfg *config.Config) {
		cfg.Sockets = maxDescriptors
		cfg.Settings.FleetSize = servers
	})
	idle := agent.pool.IdleLimit()
	direct := newRequestPath(2, idle)
	direct.nextAddr = func() string { return list[direct.random.IntN(servers)].Addr }
	through := newRequestPath(1, idle)
	through.nextAddr = func() string { return agent.addr }
	return &pathComparison{agent: agent, through: through, direct: direct}
}

// newRequestPath returns a path whose client keeps idle connections for the given time.
func newRequestPath(seed uint64, idle time.Duration) *requestPath {
	path := &requestPath{random: rand.New(rand.NewPCG(seed, 7))}
	dialer := net.Dialer{KeepAlive: -1}
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			path.connects.Add(1)
			return dialer.DialContext(ctx, network, addr)
		},
	}
	path.client = &http.Client{Timeout: agenttest.Timeout, Transport: transport}
	return path
}

// newHistogram returns a histogram of durations in ns, with a range above the timeout of the client.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*agenttest.Timeout), 3)
}

// run makes the given number of calls on each path, and returns how many connections the agent and the direct client
// opened.
func (comparison *pathComparison) run(b *testing.B, calls int) (agent, direct float64) {
	b.Helper()
	runtime.GC() // so that the measurement does not include earlier garbage
	agentBefore, directBefore := comparison.agent.pool.ConnectCount(), comparison.direct.connects.Load()
	var both sync.WaitGroup
	for _, path := range []*requestPath{comparison.through, comparison.direct} {
		path.took = newHistogram()
		path.late = newHistogram()
		path.failed = 0
		both.Add(1)
		go func() {
			defer both.Done()
			path.run(calls)
		}()
	}
	both.Wait()
	if failed := comparison.through.failed + comparison.direct.failed; failed > 0 {
		b.Errorf("%d of %d calls failed", failed, 2*calls)
	}
	agent = float64(comparison.agent.pool.ConnectCount() - agentBefore)
	direct = float64(comparison.direct.connects.Load() - directBefore)
	return agent, direct
}

// measure makes b.N calls on each path and reports the metrics.
func (comparison *pathComparison) measure(b *testing.B) {
	b.Helper()
	agent, direct := comparison.run(b, b.N)
	late := hdrhistogram.Import(comparison.through.late.Export())
	late.Merge(comparison.direct.late)
	for _, percentile := range []float64{50, 99} {
		directTime := microseconds(comparison.direct.took, percentile)
		agentTime := microseconds(comparison.through.took, percentile)
		b.ReportMetric(directTime, fmt.Sprintf("direct-p%.0f-us", percentile))
		b.ReportMetric(agentTime, fmt.Sprintf("agent-p%.0f-us", percentile))
		b.ReportMetric(agentTime-directTime, fmt.Sprintf("added-p%.0f-us", percentile))
	}
	b.ReportMetric(microseconds(late, 99), "late-p99-us")
	b.ReportMetric(agent/float64(b.N), "connects/op")
	b.ReportMetric(direct/float64(b.N), "direct-connects/op")
	b.ReportMetric(0, "ns/op") // it would only reflect the gaps between calls
}

// microseconds returns a percentile of a histogram of durations in ns, in µs.
func microseconds(times *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(times.ValueAtQuantile(percentile)) / 1000
}

// run makes the given number of calls. Each begins when it is due, even if earlier ones have not ended.
func (path *requestPath) run(calls int) {
	var open sync.WaitGroup
	due := time.Now()
	for range calls {
		due = due.Add(time.Duration(path.random.ExpFloat64() * float64(time.Second) / pathRate))
		req := agenttest.NewRequest(path.nextAddr(), "read", "")
		req.URL.Path = fmt.Sprintf("/api/%016x", path.random.Uint64())
		time.Sleep(time.Until(due))
		open.Add(1)
		go func(due time.Time) {
			defer open.Done()
			path.call(req, due)
		}(due)
	}
	open.Wait()
}

// call makes a call that was due at the given time, and records its latency and its delay.
func (path *requestPath) call(req *http.Request, due time.Time) {
	start := time.Now()
	resp, err := path.client.Do(req)
	served := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	took := time.Since(start)
	path.mu.Lock()
	defer path.mu.Unlock()
	if !served || err != nil {
		path.failed++
	}
	if path.took.RecordValue(int64(took)) != nil || path.late.RecordValue(max(int64(start.Sub(due)), 0)) != nil {
		path.failed++ // outside of the histogram's range
	}
}
