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
type Door struct {
	In       uint64 `json:"in"`
	Out      uint64 `json:"out"`
	Messages uint64 `json:"messages"`
}

// Usage is what an instance has taken, as GET /v1/status tells it.
type Usage struct {
	Reads Door `json:"reads"` // GET /api/targets: reads and watches
	Admin Door `json:"admin"` // writes and status
	Raft  Door `json:"raft"`  // with the other instances, both ways of calling
	// HeapBytes is live memory as of the last collection, AllocBytes all that was allocated since
	// the start (runtime/metrics: /gc/heap/live:bytes, /gc/heap/allocs:bytes).
	HeapBytes  uint64 `json:"heap_bytes"`
	AllocBytes uint64 `json:"alloc_bytes"`
	Goroutines int    `json:"goroutines"`
}

// counters counts what passes a door.
type counters struct{ in, out, messages atomic.Uint64 }

func (c *counters) door() Door {
	return Door{In: c.in.Load(), Out: c.out.Load(), Messages: c.messages.Load()}
}

// calls counts the calls of an HTTP door.
func (c *counters) calls(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.messages.Add(1)
		h.ServeHTTP(w, r)
	})
}

// counted is a listener whose connections are counted.
type counted struct {
	net.Listener
	c *counters
	// writes tells that each write is a message.
	writes bool
}

func (l counted) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.c, l.writes}, nil
}

type countedConn struct {
	net.Conn
	c      *counters
	writes bool
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(uint64(n))
	if c.writes {
		c.c.messages.Add(1)
	}
	return n, err
}

// usage is what this instance has taken; it collects no garbage for it.
func (n *Node) usage() Usage {
	heap := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(heap)
	return Usage{Reads: n.reads.door(), Admin: n.admin.door(), Raft: n.raftDoor.door(),
		HeapBytes: heap[0].Value.Uint64(), AllocBytes: heap[1].Value.Uint64(), Goroutines: runtime.NumGoroutine()}
}
