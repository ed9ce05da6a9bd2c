package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// startServer starts an HTTP server and returns its address. When the test ends, the server's connections are closed,
// then the server.
func startServer(t *testing.T, handler http.HandlerFunc) (addr string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// simulateWork simulates the work of a server on a request.
func simulateWork(serviceTime time.Duration) { time.Sleep(serviceTime) }

// respond returns a handler that responds with body immediately.
func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeBody(w, body) }
}

// writeBody writes the body of a message. It ignores errors: the peer may have closed the connection.
func writeBody(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

// writeList writes an endpoint list as the body of a response. It ignores errors: the agent may have ended.
func writeList(w io.Writer, list endpoint.List) { _ = json.NewEncoder(w).Encode(list) }

// neverRespond is a handler that sends no response and returns when the client closes the connection.
func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// silentDiscovery starts a discovery service that answers no calls, and returns its address.
func silentDiscovery(t *testing.T) (addr string) {
	t.Helper()
	return startServer(t, neverRespond)
}
