package upstream

import (
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/memory"
)

// BenchmarkServerConnMemory measures what a connection to a server takes while an attempt waits on it for a response,
// and fails if that is more than the memory budget counts. The server's side is in the kernel alone.
func BenchmarkServerConnMemory(b *testing.B) {
	const attempts = 200
	for b.Loop() {
		target := readyTarget(agenttest.Listen(b).Addr().String())
		pool := newTestPool(time.Second, attempts)
		request := orderRequest(target.Addr, make([]byte, 1000))
		before := agenttest.LiveBytes()
		var running sync.WaitGroup
		for range attempts {
			running.Add(1)
			go func() {
				defer running.Done()
				attemptNow(b.Context(), pool, target, request)
			}()
		}
		time.Sleep(time.Second) // until all wait for a response
		perConn := (int64(agenttest.LiveBytes()) - int64(before)) / attempts
		b.ReportMetric(float64(perConn), "bytes/conn")
		if perConn > memory.ServerConnCost {
			b.Errorf("an attempt takes %d bytes, and the budget counts %d", perConn, memory.ServerConnCost)
		}
		running.Wait()
	}
}
