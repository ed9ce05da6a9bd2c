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
	// exampleConfig is the configuration file of the quick start in the README.
	exampleConfig = "../../deploy/example/agent.json"
	// exampleKind is the kind of the servers in exampleConfig.
	exampleKind = "large"
	// exampleTimeout is the timeout of the request to the agent.
	exampleTimeout = 2000 * time.Millisecond
)

// listVersion2InForce matches the line that the agent logs when version 2 of the endpoint list comes into force.
var listVersion2InForce = regexp.MustCompile(`\bto=2\b`)

// TestExampleConfigurationServes checks that an agent with the example configuration serves requests. Only its listen
// addresses and the address of the discovery service differ from the example.
func TestExampleConfigurationServes(t *testing.T) {
	server := listedServer("s-1", startServer(t, respond("done")))
	server.Kind = exampleKind
	discovery := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "2" {
			neverRespond(w, r) // the list doesn't change again
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
