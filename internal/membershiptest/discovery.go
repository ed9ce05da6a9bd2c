package membershiptest

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// serveDiscovery starts an HTTP server that is both the agents' discovery service and the only server in its endpoint
// list.
func (h *Harness) serveDiscovery() error {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP("127.0.0.1")})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoint.ListPath, func(w http.ResponseWriter, r *http.Request) {
		awaitWatch(r)
		_, _ = fmt.Fprintf(w, `{"version":1,"full":true,"servers":[`+
			`{"id":"s-1","addr":%q,"zone":"east","kind":"big","state":"up","weight":1}]}`, ln.Addr()) // the agent polls again
	})
	mux.HandleFunc("POST /api/", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the agent handles a failed request
		_, _ = fmt.Fprint(w, "done")
	})
	h.discovery = &http.Server{Addr: ln.Addr().String(), Handler: mux}
	go func() {
		if err := h.discovery.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			h.cfg.Log("discovery: %v", err)
		}
	}()
	return nil
}

// awaitWatch waits for the maximum time of a watch, because the list never changes.
func awaitWatch(r *http.Request) {
	waitMs, err := strconv.Atoi(r.FormValue(endpoint.QueryWait))
	if err != nil {
		return
	}
	select {
	case <-time.After(time.Duration(waitMs) * time.Millisecond):
	case <-r.Context().Done():
	}
}
