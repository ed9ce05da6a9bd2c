package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// BenchmarkWatchFanout: 1,000 watchers spread over three instances; each iteration writes
// one change and waits until every watcher has it. Reported, in ms: the p50 and p99 of the
// time from the write's acknowledgement to a watcher's answer (0 where the answer came
// first), and the p99 from the moment the write was sent, its commit included.
func BenchmarkWatchFanout(b *testing.B) {
	cfgs, _ := startThreeNodes(b, time.Second)
	admin := cfgs[0].AdminAddr
	for v := uint64(0); v == 0; {
		v = putServer(admin, "warm")
		time.Sleep(50 * time.Millisecond)
	}
	const watchers = 1000
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: watchers}}
	var mu sync.Mutex
	var lags []time.Time
	var sent, acked []time.Time
	seen := make(chan struct{}, watchers)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range watchers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var version uint64
			for {
				url := fmt.Sprintf("http://%s/api/targets?index=%d&wait=2000", cfgs[w%3].HTTPAddr, version)
				resp, err := client.Get(url)
				select {
				case <-stop:
					if err == nil {
						resp.Body.Close()
					}
					return
				default:
				}
				if err != nil {
					continue
				}
				var l endpoint.List
				json.NewDecoder(resp.Body).Decode(&l)
				resp.Body.Close()
				if version != 0 && l.Version > version {
					mu.Lock()
					lags = append(lags, time.Now())
					mu.Unlock()
					seen <- struct{}{}
				}
				version = max(version, l.Version)
			}
		}()
	}
	time.Sleep(time.Second) // every watcher holds its first version
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		sent = append(sent, time.Now())
		putServer(admin, fmt.Sprint("s-", i))
		acked = append(acked, time.Now())
		for range watchers {
			<-seen
		}
	}
	b.StopTimer()
	close(stop)
	var fromAck, fromSend []float64
	for i, at := range lags {
		fromAck = append(fromAck, max(at.Sub(acked[i/watchers]).Seconds()*1000, 0))
		fromSend = append(fromSend, at.Sub(sent[i/watchers]).Seconds()*1000)
	}
	slices.Sort(fromAck)
	slices.Sort(fromSend)
	b.ReportMetric(fromAck[len(fromAck)/2], "p50-ms")
	b.ReportMetric(fromAck[len(fromAck)*99/100], "p99-ms")
	b.ReportMetric(fromSend[len(fromSend)*99/100], "p99-sent-ms")
	wg.Wait()
}

// BenchmarkFailover: three instances; each iteration closes the leader and measures the
// time until a write at one of the others is acknowledged. Reported: ms per failover, with
// Raft's timeouts at their default of 1 s and at 500 ms.
func BenchmarkFailover(b *testing.B) {
	for _, election := range []time.Duration{time.Second, 500 * time.Millisecond} {
		b.Run(fmt.Sprint("election=", election), func(b *testing.B) { benchmarkFailover(b, election) })
	}
}

func benchmarkFailover(b *testing.B, election time.Duration) {
	var total time.Duration
	for i := 0; i < b.N; i++ {
		b.StopTimer()
		cfgs, nodes := startThreeNodes(b, election)
		lead := -1
		for lead < 0 {
			for j, c := range cfgs {
				if putServer(c.AdminAddr, "warm") != 0 && statusAt(c.AdminAddr).Leader == c.ID {
					lead = j
				}
			}
		}
		b.StartTimer()
		start := time.Now()
		nodes[lead].Close()
		other := cfgs[(lead+1)%3].AdminAddr
		for putServer(other, fmt.Sprint("after-", i)) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		total += time.Since(start)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/failover")
}
