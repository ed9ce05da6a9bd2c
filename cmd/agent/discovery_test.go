package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// silentDiscovery is a discovery that answers no call during the test; it
// gives its address and is closed, its connections first, when the test ends.
func silentDiscovery(t *testing.T) string {
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(patience):
		}
	}))
	t.Cleanup(d.Close)
	t.Cleanup(d.CloseClientConnections)
	return d.Listener.Addr().String()
}
