package listsvc

import (
	"net"
	"net/http"

	"clayproxy.example/clayproxy/internal/listener"
)

// serve answers the calls that come to a listener until the server is closed.
func (n *Node) serve(server *http.Server, ln net.Listener, c *counters) {
	addr := ln.Addr().String()
	ln = listener.New(ln, listener.LogFailures(n.log, addr))
	server.Serve(counted{Listener: ln, c: c})
}
