package server

import (
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync/atomic"
)

// Door is what has passed one of an instance's doors since its start: bytes of the streams (HTTP's
// and Raft's own words, nothing below TCP), and messages. At an HTTP door a message is a call,
// counted as it comes; at Raft's it is a write to a stream, of which Raft makes one for each of
// its calls and each of its answers.
type Traffic struct {
	In       uint64 `json:"in"`
	Out      uint64 `json:"out"`
	Messages uint64 `json:"messages"`
}

// Usage is what an instance has taken, as GET /v1/status tells it.
type Usage struct {
	Reads Traffic `json:"reads"` // GET /api/targets: reads and watches
	Admin Traffic `json:"admin"` // writes and status
	Raft  Traffic `json:"raft"`  // with the other instances, both ways of calling
	// HeapBytes is live memory as of the last collection, AllocBytes all that was allocated since
	// the start (runtime/metrics: /gc/heap/live:bytes, /gc/heap/allocs:bytes).
	HeapBytes  uint64 `json:"heap_bytes"`
	AllocBytes uint64 `json:"alloc_bytes"`
	Goroutines int    `json:"goroutines"`
}

// counters counts what passes a door.
type trafficCounters struct{ in, out, messages atomic.Uint64 }

func (c *trafficCounters) snapshot() Traffic {
	return Traffic{In: c.in.Load(), Out: c.out.Load(), Messages: c.messages.Load()}
}

// calls counts the calls of an HTTP door.
func (c *trafficCounters) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.messages.Add(1)
		h.ServeHTTP(w, r)
	})
}

// counted is a listener whose connections are counted.
type countingListener struct {
	net.Listener
	counters *trafficCounters
	// writes tells that each write is a message.
	countWrites bool
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.counters, l.countWrites}, nil
}

type countingConn struct {
	net.Conn
	counters    *trafficCounters
	countWrites bool
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.in.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.out.Add(uint64(n))
	if c.countWrites {
		c.counters.messages.Add(1)
	}
	return n, err
}

// usage is what this instance has taken; it collects no garbage for it.
func (n *Node) usage() Usage {
	heap := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(heap)
	return Usage{Reads: n.readTraffic.snapshot(), Admin: n.adminTraffic.snapshot(), Raft: n.raftTraffic.snapshot(),
		HeapBytes: heap[0].Value.Uint64(), AllocBytes: heap[1].Value.Uint64(), Goroutines: runtime.NumGoroutine()}
}
