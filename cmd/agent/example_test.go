package main

import (
	"net/http"
	"os"
	"regexp"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// exampleConfig is the configuration that README starts with.
	exampleConfig = "../../deploy/example/agent.json"
	// exampleKind is the kind of its servers.
	exampleKind = "large"
	// exampleTimeout is the request timeout of the request to it.
	exampleTimeout = 2000 * time.Millisecond
)

// listVersion2InForce is the line that the agent logs when it goes by version 2 of the endpoint list.
var listVersion2InForce = regexp.MustCompile(`\bto=2\b`)

// TestExampleConfigurationServes starts the program on the example configuration, with a free port to listen on
// and a discovery and a server of the test's, and sends it a request.
func TestExampleConfigurationServes(t *testing.T) {
	server := listedServer("s-1", serve(t, respond("done")))
	server.Kind = exampleKind
	discovery := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "2" {
			stayUnanswered(w, r) // nothing changes any more
			return
		}
		writeList(w, endpoint.List{Version: 2, Full: true, Servers: []endpoint.Endpoint{server}})
	})
	config, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	p := newProgram(t, config)
	p.setenv("PROXY_LISTEN", anyAddress)
	p.setenv("PROXY_MANAGEMENT", anyAddress)
	p.setenv("PROXY_DISCOVERY", discovery)
	addr, _ := p.startListening(t)
	p.awaitLine(t, listVersion2InForce)
	p.collectLog()

	request, err := order{path: orderPath, timeout: exampleTimeout}.request(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	got, err := do(http.DefaultClient, request)
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
}
