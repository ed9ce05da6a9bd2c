package server

import (
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
)

// Names of runtime/metrics.
const (
	liveHeapMetric  = "/gc/heap/live:bytes"
	allocatedMetric = "/gc/heap/allocs:bytes"
)

// Traffic is the traffic of one of an instance's addresses since the instance started.
type Traffic struct {
	In  uint64 `json:"in"`  // payload bytes received over TCP
	Out uint64 `json:"out"` // payload bytes sent over TCP
	// Messages counts the requests received by an HTTP server. For Raft it counts the writes to
	// streams: Raft makes one write for each request and each response.
	Messages uint64 `json:"messages"`
}

// Usage is the traffic and the memory usage of an instance.
type Usage struct {
	Reads Traffic `json:"reads"` // GET /api/targets: reads and watches
	Admin Traffic `json:"admin"` // writes, settings and status
	Raft  Traffic `json:"raft"`  // with the other instances, over connections dialed by either side
	// HeapBytes is the live memory as of the last garbage collection
	// (runtime/metrics: /gc/heap/live:bytes).
	HeapBytes uint64 `json:"heap_bytes"`
	// AllocBytes is the memory allocated since the process started
	// (runtime/metrics: /gc/heap/allocs:bytes).
	AllocBytes uint64 `json:"alloc_bytes"`
	Goroutines int    `json:"goroutines"`
}

// usage returns this instance's usage. It does not trigger a garbage collection.
func (n *Node) usage() Usage {
	heap := []metrics.Sample{{Name: liveHeapMetric}, {Name: allocatedMetric}}
	metrics.Read(heap)
	return Usage{
		Reads:      n.readTraffic.snapshot(),
		Admin:      n.adminTraffic.snapshot(),
		Raft:       n.raftTraffic.snapshot(),
		HeapBytes:  heap[0].Value.Uint64(),
		AllocBytes: heap[1].Value.Uint64(),
		Goroutines: runtime.NumGoroutine(),
	}
}

// trafficCounters counts the traffic of one address. The zero value is ready to use.
type trafficCounters struct{ in, out, messages atomic.Uint64 }

// snapshot returns the counts so far.
func (c *trafficCounters) snapshot() Traffic {
	return Traffic{In: c.in.Load(), Out: c.out.Load(), Messages: c.messages.Load()}
}

// countRequests wraps a handler and counts each request as a message.
func (c *trafficCounters) countRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.messages.Add(1)
		handler.ServeHTTP(w, r)
	})
}

// countingListener counts the traffic of the connections that it accepts.
type countingListener struct {
	net.Listener
	counters    *trafficCounters
	countWrites bool // each write counts as a message
}

// Accept waits for the next connection and returns it wrapped in a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// wrap wraps a connection in a countingConn.
func (l countingListener) wrap(conn net.Conn) net.Conn {
	return &countingConn{Conn: conn, counters: l.counters, countWrites: l.countWrites}
}

// countingConn is a connection whose traffic is counted.
type countingConn struct {
	net.Conn
	counters    *trafficCounters
	countWrites bool
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.in.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.out.Add(uint64(n))
	if c.countWrites {
		c.counters.messages.Add(1)
	}
	return n, err
}
