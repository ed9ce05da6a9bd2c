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

// BenchmarkPath is what the way through an agent adds to a call: b.N calls through it and b.N
// straight to the same servers, side by side in one run. Both are open loops of Poisson gaps, each
// at pathRate. -benchtime 2400x is 20 s and leaves 24 calls over each p99; -count gives the spread.
//
// What would fool the figure, and what is done:
//   - Cold starts: first windows, the answers by which calm is learned and first connections are
//     before the measure, as many calls as bring connections to their steady number (see warm).
//   - Keys are never the same, so calls go to all servers alike. Of 1,500 at 120 calls a second each
//     is called every 12.5 s, and a kept connection idles 15 s at most (half of keepaliveMs): a part
//     e^-1.2, about 0.3, of calls opens one. The direct way draws servers alike, keeps connections as
//     long, and so opens as many: both counts are reported. A connection that carried a call in the
//     last 20 ms (SettleTime) is not used again by the agent; the direct way has no such rule.
//   - Descriptors are not what bounds kept connections here: the agent may have 4,096.
//   - Replicas is the number of servers, as each has its agent: rooms and windows are that size's.
//   - Client, agent and servers are one process on all of GOMAXPROCS (the names' suffix). They share
//     its collector, and the agent is not held to one core. What another process would add of
//     switches on a full machine is not in the figure, nor what a machine shared with other work is.
//   - Servers answer at once: the direct way is the bare cost of a loopback call. A call's time
//     counts from when it is begun, not when it was due; late-p99-us is how much that lags (the
//     same for both ways, so added is free of it).
//   - added-p99-us is the difference of two p99 of one run, not the p99 of differences.
func BenchmarkPath(b *testing.B) {
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // or it would be among the results
	for _, servers := range []int{10, 100, 1500} {
		var p *pathComparison
		b.Run(fmt.Sprintf("servers=%d", servers), func(sub *testing.B) {
			if p == nil { // once for all sizes of b.N and all of -count: repeats share their agent
				p = newPathComparison(b, servers)
				p.run(b, min(240+5*servers, 1800)) // 15 s at the most: then as many connections end as begin
			}
			p.measure(sub)
		})
		if p != nil {
			p.agent.stop()
		}
	}
}

// pathComparison is a client that calls the same servers through an agent and directly.
type pathComparison struct {
	agent           *testAgent
	through, direct *requestPath
}

// requestPath is one of the two ways: an open loop and what it measured.
type requestPath struct {
	client   *http.Client
	rng      *rand.Rand
	to       func() string // the next call's address
	connects atomic.Int64  // opened by the client

	mu         sync.Mutex
	took, late *hdrhistogram.Histogram
	failed     int
}

func newPathComparison(b *testing.B, servers int) *pathComparison {
	list := make([]endpoint.Endpoint, servers)
	for i := range list {
		list[i] = agenttest.Endpoint(fmt.Sprintf("s-%d", i), agenttest.NewServer(b, agenttest.RespondOK).Addr)
	}
	agent := startAgent(b, agenttest.NewDiscovery(b, list...), func(cfg *config.Config) {
		cfg.Sockets, cfg.Settings.FleetSize = 4096, servers
	})
	idle := agent.pool.IdleLimit()
	direct := newRequestPath(2, idle)
	direct.to = func() string { return list[direct.rng.IntN(servers)].Addr }
	through := newRequestPath(1, idle)
	through.to = func() string { return agent.addr }
	return &pathComparison{agent, through, direct}
}

func newRequestPath(seed uint64, idle time.Duration) *requestPath {
	path := &requestPath{rng: rand.New(rand.NewPCG(seed, 7))}
	dialer := net.Dialer{KeepAlive: -1}
	path.client = &http.Client{Timeout: agenttest.Timeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: idle, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			path.connects.Add(1)
			return dialer.DialContext(ctx, network, addr)
		}}}
	return path
}

// newHistogram takes ns, up to what the client waits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(2*agenttest.Timeout), 3)
}

// play makes so many calls each way and returns what the agent and the direct way connected.
func (comparison *pathComparison) run(b *testing.B, calls int) (agent, direct float64) {
	runtime.GC() // what was before is not the measure's
	tried, dialed := comparison.agent.pool.ConnectCount(), comparison.direct.connects.Load()
	var both sync.WaitGroup
	for _, w := range []*requestPath{comparison.through, comparison.direct} {
		w.took, w.late, w.failed = newHistogram(), newHistogram(), 0
		both.Add(1)
		go func() {
			defer both.Done()
			w.run(calls)
		}()
	}
	both.Wait()
	if n := comparison.through.failed + comparison.direct.failed; n > 0 {
		b.Errorf("%d of %d calls failed", n, 2*calls)
	}
	return float64(comparison.agent.pool.ConnectCount() - tried), float64(comparison.direct.connects.Load() - dialed)
}

func (comparison *pathComparison) measure(b *testing.B) {
	agent, direct := comparison.run(b, b.N)
	late := hdrhistogram.Import(comparison.through.late.Export())
	late.Merge(comparison.direct.late)
	us := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	for _, q := range []float64{50, 99} {
		d, a := us(comparison.direct.took, q), us(comparison.through.took, q)
		b.ReportMetric(d, fmt.Sprintf("direct-p%.0f-us", q))
		b.ReportMetric(a, fmt.Sprintf("agent-p%.0f-us", q))
		b.ReportMetric(a-d, fmt.Sprintf("added-p%.0f-us", q))
	}
	b.ReportMetric(us(late, 99), "late-p99-us")
	b.ReportMetric(agent/float64(b.N), "connects/op")
	b.ReportMetric(direct/float64(b.N), "direct-connects/op")
	b.ReportMetric(0, "ns/op") // it would be the gaps
}

// play begins calls when they are due, whatever became of those before.
func (path *requestPath) run(calls int) {
	var open sync.WaitGroup
	due := time.Now()
	for range calls {
		due = due.Add(time.Duration(path.rng.ExpFloat64() * float64(time.Second) / pathRate))
		req := agenttest.NewRequest(path.to(), "read", "")
		req.URL.Path = fmt.Sprintf("/api/%016x", path.rng.Uint64())
		time.Sleep(time.Until(due))
		open.Add(1)
		go func(due time.Time) {
			defer open.Done()
			path.call(req, due)
		}(due)
	}
	open.Wait()
}

func (path *requestPath) call(req *http.Request, due time.Time) {
	begun := time.Now()
	resp, err := path.client.Do(req)
	good := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	took := time.Since(begun)
	path.mu.Lock()
	defer path.mu.Unlock()
	if !good || err != nil {
		path.failed++
	}
	if path.took.RecordValue(int64(took)) != nil || path.late.RecordValue(max(int64(begun.Sub(due)), 0)) != nil {
		path.failed++ // out of range
	}
}
