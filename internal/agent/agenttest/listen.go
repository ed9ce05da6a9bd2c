package agenttest

import (
	"net"
	"testing"
)

// Listen listens on a loopback port chosen by the system. The listener is closed when the test ends, unless its owner
// closes it earlier.
func Listen(tb testing.TB) net.Listener {
	tb.Helper()
	ln, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = ln.Close() }) // its owner may have closed it
	return ln
}

// AcceptAll accepts connections until the listener is closed. It calls handle for each connection in a new goroutine,
// and closes the connection when handle returns.
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
