package agenttest

import (
	"net"
	"testing"
)

// Listen listens on a loopback port that the system chooses. The listener is closed at the end of the test at the
// latest.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	ln, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() }) // its owner may have closed it
	return ln
}

// AcceptAll hands each connection of a listener to a goroutine of its own until the listener is closed. The connection
// is closed after that.
func AcceptAll(listener net.Listener, handle func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			handle(conn)
		}()
	}
}
