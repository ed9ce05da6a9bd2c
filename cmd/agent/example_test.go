package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
)

// exampleConfig is the configuration that README starts with.
const exampleConfig = "../../deploy/example/agent.json"

// TestExampleConfigurationServes starts the program on the example configuration, with a free port to listen on
// and a discovery and a server of the test's, and sends it a request.
func TestExampleConfigurationServes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	defer server.Close()
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "2" {
			<-r.Context().Done() // nothing changes any more
			return
		}
		fmt.Fprintf(w, `{"version":2,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"east","kind":"large","state":"up","weight":1}]}`,
			server.Listener.Addr())
	}))
	defer discovery.Close()
	config, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	cmd := program(t, string(config))
	cmd.Env = append(cmd.Env, "PROXY_LISTEN=127.0.0.1:0", "PROXY_MANAGEMENT=127.0.0.1:0",
		"PROXY_DISCOVERY="+discovery.Listener.Addr().String())
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}()
	log := bufio.NewScanner(stderr)
	addr := ""
	for addr == "" && log.Scan() {
		if found := regexp.MustCompile(`msg=listening .*addr=(\S+)`).FindStringSubmatch(log.Text()); found != nil {
			addr = found[1]
		}
	}
	list := regexp.MustCompile(`\bto=2\b`)
	for log.Scan() && !list.MatchString(log.Text()) {
	}
	if addr == "" || log.Err() != nil {
		t.Fatalf("no address and list in the log (%v)", log.Err())
	}
	go func() {
		for log.Scan() { // a log that nobody reads would block its writer
		}
	}()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api/a1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", "1")
	request.Header.Set("Request-Class", "order")
	request.Header.Set("Request-Timeout-Ms", "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", response.StatusCode)
	}
}
