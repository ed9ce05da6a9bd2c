package server

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"fernbeam.example/fernbeam/internal/listener"
)

// serve answers the calls that come to a listener until the server is closed. Where it ends for
// another reason, Failed tells it.
func (n *Node) serve(server *http.Server, ln net.Listener, c *trafficCounters) {
	addr := ln.Addr().String()
	ln = listener.New(ln, listener.LogFailures(n.log, addr))
	err := server.Serve(countingListener{Listener: ln, counters: c})
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	n.failed <- fmt.Errorf("serve %s: %w", addr, err)
}

// Failed tells why an instance no longer accepts on one of its listeners. It can't serve from then
// on, and is to be closed.
func (n *Node) Failed() <-chan error { return n.failed }
