package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/listener"
)

// inheritedPrefix is the prefix of an address that refers to an inherited file descriptor.
const inheritedPrefix = "fd:"

// The time limits of the clients of an instance. None of them counts while a watch waits.
const (
	// readHeaderTimeout bounds how long a client may take to send a request's header.
	readHeaderTimeout = 5 * time.Second
	// readBodyTimeout bounds how long a client may take to send a request's body after its header.
	readBodyTimeout = 5 * time.Second
	// writeStallTimeout bounds how long a client may accept nothing of a response.
	writeStallTimeout = 10 * time.Second
	// idleTimeout bounds how long a connection may be idle. It is longer than that of the HTTP clients of
	// agents and instances, so that it closes no connection that is about to be used.
	idleTimeout = 2 * time.Minute
)

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
	server := newHTTPServer(counters.countRequests(handler))
	n.httpServers = append(n.httpServers, server)
	n.serving.Add(1)
	go func() {
		defer n.serving.Done()
		n.serve(server, ln, counters)
	}()
	return nil
}

// newHTTPServer returns an HTTP server whose timeouts end a client that stops sending or reading. It has
// no ReadTimeout and no WriteTimeout: both count from a request's header, and a watch may wait for longer.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           limitBodyTime(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// limitBodyTime wraps a handler and bounds how long a client may take to send a request's body. Once the
// body has been read there is no read deadline, because an expired one would cancel the request.
func limitBodyTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			control := http.NewResponseController(w)
			_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout)) // fails only on a closed connection
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		handler.ServeHTTP(w, r)
	})
}

// timedBody is a request body whose end removes the connection's read deadline.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads from the body.
func (b *timedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return n, err
}

// serve serves requests on a listener until the server is closed. If it stops for another reason, it
// sends the error to the channel of Failed.
func (n *Node) serve(server *http.Server, ln net.Listener, counters *trafficCounters) {
	address := ln.Addr().String()
	ln = listener.New(ln, listener.LogFailures(n.log, address))
	ln = listener.WithWriteTimeout(ln, writeStallTimeout)
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
