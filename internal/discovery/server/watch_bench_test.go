package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// fanoutWatchers is the number of watchers in BenchmarkWatchFanout.
	fanoutWatchers = 1000
	// fanoutWait is how long each watch in BenchmarkWatchFanout waits for a change.
	fanoutWait = 2 * time.Second
	// warmupServerID is the id of the server that the benchmarks write until there is a leader.
	warmupServerID = "warm"
	// failoverWriteInterval is the time between two attempts at the write that ends a failover.
	failoverWriteInterval = 5 * time.Millisecond
)

// BenchmarkWatchFanout measures how long a change takes to reach 1,000 watchers at three instances. Each
// iteration writes one change and waits until every watcher has it. The benchmark reports the p50 and p99
// of the time in ms from the acknowledgement of a write to a watcher's response (0 if the response was
// first), and the p99 of the time from the sending of the write, which includes its commit.
func BenchmarkWatchFanout(b *testing.B) {
	configs, _ := startThreeNodes(b, time.Second)
	adminAddr := configs[0].AdminAddr
	isWritten := func() bool { return putServer(adminAddr, warmupServerID) != 0 }
	mustAwait(b, "a first write", isWritten)
	fanout := newFanout()
	for i := range fanoutWatchers {
		fanout.watching.Add(1)
		go func() {
			defer fanout.watching.Done()
			fanout.watch(b.Context(), configs[i%len(configs)].HTTPAddr)
		}()
	}
	haveFirstVersion := func() bool { return fanout.started.Load() == fanoutWatchers }
	mustAwait(b, "the first version at every watcher", haveFirstVersion)
	var sentAt, acknowledgedAt []time.Time
	b.ResetTimer()
	for i := range b.N {
		sentAt = append(sentAt, time.Now())
		putServer(adminAddr, fmt.Sprint("s-", i))
		acknowledgedAt = append(acknowledgedAt, time.Now())
		for range fanoutWatchers {
			<-fanout.received
		}
	}
	b.StopTimer()
	close(fanout.stop)
	fanout.report(b, sentAt, acknowledgedAt)
	fanout.watching.Wait()
}

// BenchmarkReadAtFollower measures a read of the full list at a follower, on a connection that is kept.
func BenchmarkReadAtFollower(b *testing.B) {
	configs, nodes := startThreeNodes(b, time.Second)
	mustAwait(b, "a first write", func() bool { return putServer(configs[0].AdminAddr, warmupServerID) != 0 })
	follower := slices.IndexFunc(configs, func(c server.Config) bool {
		return statusAt(c.AdminAddr).State == server.StateFollower
	})
	if follower < 0 {
		b.Fatalf("no follower among %d instances", len(nodes))
	}
	mustAwait(b, "the list at the follower", func() bool {
		_, served := fetchList(configs[follower].HTTPAddr)
		return served
	})
	b.ResetTimer()
	for range b.N {
		resp, err := get(b.Context(), httpClient, configs[follower].HTTPAddr+endpoint.ListPath)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v", resp.StatusCode, err)
		}
		closeBody(resp)
	}
}

// milliseconds returns a duration in ms.
func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

// fanout is the set of watchers of BenchmarkWatchFanout.
type fanout struct {
	client   *http.Client
	received chan struct{} // gets a value for each change at each watcher
	stop     chan struct{} // closed to stop the watchers
	started  atomic.Int64  // watchers that have their first version
	watching sync.WaitGroup

	mu         sync.Mutex
	receivedAt []time.Time // when each watcher received each change, in ascending order
}

// newFanout returns a fanout without watchers.
func newFanout() *fanout {
	return &fanout{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: fanoutWatchers}},
		received: make(chan struct{}, fanoutWatchers),
		stop:     make(chan struct{}),
	}
}

// watch watches the list at an instance until stop is closed, and records when it receives each change.
func (f *fanout) watch(ctx context.Context, address string) {
	var version uint64
	for {
		url := watchURL(address, fmt.Sprintf("index=%d&wait=%d", version, fanoutWait.Milliseconds()))
		resp, err := get(ctx, f.client, url)
		select {
		case <-f.stop:
			if err == nil {
				closeBody(resp)
			}
			return
		default:
		}
		if err != nil {
			continue
		}
		var list endpoint.List
		err = json.NewDecoder(resp.Body).Decode(&list)
		closeBody(resp)
		if err != nil {
			continue
		}
		switch {
		case list.Version <= version:
		case version == 0:
			f.started.Add(1)
		default:
			f.record(time.Now())
		}
		version = max(version, list.Version)
	}
}

// record records that a watcher has received a change.
func (f *fanout) record(receivedAt time.Time) {
	f.mu.Lock()
	f.receivedAt = append(f.receivedAt, receivedAt)
	f.mu.Unlock()
	f.received <- struct{}{}
}

// report reports the times from the writes to the watchers' responses. sentAt and acknowledgedAt have one
// time per write.
func (f *fanout) report(b *testing.B, sentAt, acknowledgedAt []time.Time) {
	b.Helper()
	var fromAcknowledged, fromSent []float64
	for i, receivedAt := range f.receivedAt {
		write := i / fanoutWatchers
		fromAcknowledged = append(fromAcknowledged, max(milliseconds(receivedAt.Sub(acknowledgedAt[write])), 0))
		fromSent = append(fromSent, milliseconds(receivedAt.Sub(sentAt[write])))
	}
	slices.Sort(fromAcknowledged)
	slices.Sort(fromSent)
	b.ReportMetric(fromAcknowledged[len(fromAcknowledged)/2], "p50-ms")
	b.ReportMetric(fromAcknowledged[len(fromAcknowledged)*99/100], "p99-ms")
	b.ReportMetric(fromSent[len(fromSent)*99/100], "p99-sent-ms")
}

// BenchmarkFailover measures the time from the close of the leader of three instances until a write at
// another instance is acknowledged, in ms per failover, with election timeouts of 1 s (the default) and
// 500 ms.
func BenchmarkFailover(b *testing.B) {
	for _, timeout := range []time.Duration{time.Second, 500 * time.Millisecond} {
		b.Run(fmt.Sprint("election=", timeout), func(b *testing.B) { benchmarkFailover(b, timeout) })
	}
}

// awaitWritingLeader waits for a leader that acknowledges writes, and returns its index in configs.
func awaitWritingLeader(b *testing.B, configs []server.Config) int {
	b.Helper()
	leader := -1
	isElected := func() bool {
		for instance, config := range configs {
			if putServer(config.AdminAddr, warmupServerID) != 0 && statusAt(config.AdminAddr).Leader == config.ID {
				leader = instance
			}
		}
		return leader >= 0
	}
	mustAwait(b, "a leader", isElected)
	return leader
}

// benchmarkFailover measures failovers with the given election timeout.
func benchmarkFailover(b *testing.B, electionTimeout time.Duration) {
	b.Helper()
	var total time.Duration
	for i := range b.N {
		b.StopTimer()
		configs, nodes := startThreeNodes(b, electionTimeout)
		leader := awaitWritingLeader(b, configs)
		b.StartTimer()
		startedAt := time.Now()
		closeNode(b, nodes[leader])
		other := configs[(leader+1)%len(configs)].AdminAddr
		isWritten := func() bool { return putServer(other, fmt.Sprint("after-", i)) != 0 }
		err := processtest.AwaitEvery(failoverWriteInterval, startTimeout, "a write after the failover", isWritten)
		if err != nil {
			b.Fatal(err)
		}
		total += time.Since(startedAt)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/failover")
}
