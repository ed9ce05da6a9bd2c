package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"

	"fernbeam.example/fernbeam/internal/listener"
)

// inheritedPrefix starts an address that is the number of an inherited file descriptor.
const inheritedPrefix = "fd:"

// startHTTP starts the HTTP servers for reads and for writes.
func (n *Node) startHTTP() error {
	if err := n.startHTTPServer(n.cfg.HTTPAddr, n.readMux(), &n.readTraffic); err != nil {
		return err
	}
	return n.startHTTPServer(n.cfg.AdminAddr, n.adminMux(), &n.adminTraffic)
}

// startHTTPServer starts one HTTP server, which Close ends.
func (n *Node) startHTTPServer(address string, handler http.Handler, counters *trafficCounters) error {
	ln, err := listen(address)
	if err != nil {
		return fmt.Errorf("listen %s: %w", address, err)
	}
	server := &http.Server{Handler: counters.countRequests(handler), ReadHeaderTimeout: readHeaderTimeout}
	n.httpServers = append(n.httpServers, server)
	n.serving.Add(1)
	go func() {
		defer n.serving.Done()
		n.serve(server, ln, counters)
	}()
	return nil
}

// serve answers the requests that arrive at a listener until the server is closed. If it ends for
// another reason, the reason is sent to Failed.
func (n *Node) serve(server *http.Server, ln net.Listener, counters *trafficCounters) {
	address := ln.Addr().String()
	ln = listener.New(ln, listener.LogFailures(n.log, address))
	err := server.Serve(countingListener{Listener: ln, counters: counters})
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	n.failed <- fmt.Errorf("serve %s: %w", address, err)
}

// listen opens a TCP listener at host:port, or uses an inherited one at "fd:N".
func listen(address string) (net.Listener, error) {
	number, inherited := strings.CutPrefix(address, inheritedPrefix)
	if !inherited {
		var config net.ListenConfig
		return config.Listen(context.Background(), "tcp", address)
	}
	descriptor, err := strconv.Atoi(number)
	if err != nil {
		return nil, fmt.Errorf("%q: not a file descriptor", address)
	}
	file := os.NewFile(uintptr(descriptor), address)
	defer func() { _ = file.Close() }() // net.FileListener has duplicated the descriptor
	return net.FileListener(file)
}
