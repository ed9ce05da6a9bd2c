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

// serve starts an HTTP server that ends with the test, its connections first, and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) (addr string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// simulateWork lasts as long as a server works on a request.
func simulateWork(serviceTime time.Duration) { time.Sleep(serviceTime) }

// respond is a handler that responds with a body at once.
func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { writeBody(w, body) }
}

// writeBody writes a response's body; a client that has gone needs none.
func writeBody(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

// writeList writes an endpoint list as a response's body; an agent that has gone needs none.
func writeList(w io.Writer, list endpoint.List) { _ = json.NewEncoder(w).Encode(list) }

// stayUnanswered is a handler that ends when the client has closed the connection.
func stayUnanswered(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// silentDiscovery is a discovery service that answers no call; it returns its address.
func silentDiscovery(t *testing.T) (addr string) {
	t.Helper()
	return serve(t, stayUnanswered)
}
