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

// pathRate is the calls a second that an agent has on average in two years (deploy/target.toml).
const pathRate = 120

// maxDescriptors is enough that it does not bound how many connections the agent keeps.
const maxDescriptors = 4096

// BenchmarkPath measures what the way through an agent adds to a call: b.N calls through it and b.N
// directly to the same servers, side by side in one run. Both are open loops of Poisson gaps, each
// at pathRate. -benchtime 2400x is 20 s and leaves 24 calls above each p99; -count gives the spread.
//
// What could distort the metrics, and what is done:
//   - Cold starts: the first concurrency limits, the responses by which the baseline latency is learned and
//     the first connections come before the measurement (see warmUpCalls).
//   - Affinity keys are never the same, so calls go to all servers alike. Of 1,500 at 120 calls a second each
//     is called every 12.5 s, and a kept connection idles for 15 s at most (half of keepaliveMs): a fraction
//     e^-1.2, about 0.3, of the calls opens one. The direct client draws servers alike, keeps connections as
//     long, and so opens as many: both counts are reported. The agent does not reuse a connection that carried
//     a call in the last 20 ms (settleTime); the direct client has no such rule.
//   - Descriptors do not bound kept connections here (see maxDescriptors).
//   - FleetSize is the number of servers, as each has its agent: concurrency limits are that size's.
//   - Client, agent and servers are one process on all of GOMAXPROCS (the names' suffix). They share
//     its garbage collector, and the agent is not limited to one core. Context switches between processes are
//     not in the metrics, nor is the other work of a shared machine.
//   - Servers respond at once: the direct way is the bare cost of a loopback call. A call's time
//     counts from its start, not from when it was due; late-p99-us is the difference (the
//     same for both ways, so it is not in what is added).
//   - added-p99-us is the difference of two p99 of one run, not the p99 of differences.
func BenchmarkPath(b *testing.B) {
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // or it would be among the results
	for _, servers := range []int{10, 100, 1500} {
		var comparison *pathComparison
		b.Run(fmt.Sprintf("servers=%d", servers), func(sub *testing.B) {
			if comparison == nil { // once for all sizes of b.N and all of -count: repeats share their agent
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

// warmUpCalls is how many calls bring connections to their steady number: after at most 15 s as many end as begin.
func warmUpCalls(servers int) int { return min(240+5*servers, 1800) }

// pathComparison is a client that calls the same servers through an agent and directly.
type pathComparison struct {
	agent   *testAgent
	through *requestPath
	direct  *requestPath
}

// requestPath is one of the two ways: an open loop and what it measured.
type requestPath struct {
	client   *http.Client
	random   *rand.Rand
	nextAddr func() string // the address of the next call
	connects atomic.Int64  // opened by the client

	mu     sync.Mutex
	took   *hdrhistogram.Histogram
	late   *hdrhistogram.Histogram // how long after it was due a call began
	failed int
}

// newPathComparison starts that many servers and an agent.
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

// newRequestPath makes a client that keeps connections for the idle time.
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

// newHistogram makes a histogram of times in ns, up to what the client waits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*agenttest.Timeout), 3)
}

// run makes that many calls each way and returns how many connections the agent and the direct client opened.
func (comparison *pathComparison) run(b *testing.B, calls int) (agent, direct float64) {
	b.Helper()
	runtime.GC() // earlier garbage is not part of the measurement
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

// measure makes b.N calls each way and reports the metrics.
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
	b.ReportMetric(0, "ns/op") // it would be the gaps
}

// microseconds is a percentile of a histogram of times in ns.
func microseconds(times *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(times.ValueAtQuantile(percentile)) / 1000
}

// run begins that many calls, each when it is due, whether or not those before have ended.
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

// call makes a call that was due at a time, and records it.
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
		path.failed++ // out of range
	}
}
