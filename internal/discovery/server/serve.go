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

// inheritedPrefix is the prefix of an address that refers to an inherited file descriptor.
const inheritedPrefix = "fd:"

// startHTTP starts the HTTP servers for reads and for writes.
func (n *Node) startHTTP() error {
	if err := n.startHTTPServer(n.cfg.HTTPAddr, n.readMux(), &n.readTraffic); err != nil {
		return err
	}
	return n.startHTTPServer(n.cfg.AdminAddr, n.adminMux(), &n.adminTraffic)
}

// startHTTPServer starts an HTTP server, which Close stops.
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

// serve serves requests on a listener until the server is closed. If it stops for another reason, it
// sends the error to the channel of Failed.
func (n *Node) serve(server *http.Server, ln net.Listener, counters *trafficCounters) {
	address := ln.Addr().String()
	ln = listener.New(ln, listener.LogFailures(n.log, address))
	err := server.Serve(countingListener{Listener: ln, counters: counters})
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	n.failed <- fmt.Errorf("serve %s: %w", address, err)
}

// listen opens a TCP listener for host:port, or uses the inherited listener for "fd:N".
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
