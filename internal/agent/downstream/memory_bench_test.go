package downstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/memory"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// silentDispatcher keeps requests without a response until their clients have gone.
type silentDispatcher struct{ testDispatcher }

func (d *silentDispatcher) Dispatch(*message.Request) { d.requests.Add(1) }

// rawClient is a client connection that takes no memory of this process.
func rawClient(b *testing.B, addr *net.TCPAddr) int {
	b.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = unix.Close(fd) })
	server := &unix.SockaddrInet4{Port: addr.Port}
	copy(server.Addr[:], addr.IP.To4())
	if err := unix.Connect(fd, server); err != nil {
		b.Fatal(err)
	}
	return fd
}

// BenchmarkClientConnMemory measures what a client connection and a request in progress take, and fails if that is more
// than the memory budget counts.
func BenchmarkClientConnMemory(b *testing.B) {
	const conns = 200
	for _, state := range []struct {
		name, text string
		cost       int64
	}{
		{"silent", "", memory.ClientConnCost},
		{"idle", "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n", memory.ClientConnCost},
		{"in a request", agenttest.RequestText(1, maxRequestTimeoutMs), memory.ClientConnCost + memory.RequestCost},
	} {
		b.Run(state.name, func(b *testing.B) {
			listener := agenttest.Listen(b)
			startServerWith(b, listener, &silentDispatcher{})
			for b.Loop() {
				before := agenttest.LiveBytes()
				for range conns {
					fd := rawClient(b, listener.Addr().(*net.TCPAddr))
					if _, err := unix.Write(fd, []byte(state.text)); err != nil {
						b.Fatal(err)
					}
				}
				time.Sleep(500 * time.Millisecond) // until all are in their state
				perConn := (int64(agenttest.LiveBytes()) - int64(before)) / conns
				b.ReportMetric(float64(perConn), "bytes/conn")
				if perConn > state.cost {
					b.Errorf("a connection that is %s takes %d bytes, and the budget counts %d", state.name, perConn, state.cost)
				}
			}
		})
	}
}
