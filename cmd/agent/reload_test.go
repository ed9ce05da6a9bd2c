package main

import (
	"net/http"
	"regexp"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxDiscoveryCalls is how many calls discoveryCalls keeps until a test reads them.
const maxDiscoveryCalls = 100

// The lines that the agent logs after a reload.
var (
	reloadFailed   = regexp.MustCompile("reload failed")
	discoveryMoved = regexp.MustCompile("discovery moved")
)

// discoveryCalls has, for each call to a discovery service, the name of the service.
type discoveryCalls chan string

// serve starts a discovery service that answers no call, and returns its address.
func (c discoveryCalls) serve(t *testing.T, name string) (addr string) {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		c <- name
		stayUnanswered(w, r)
	})
}

// await waits for a call to one of the services; the agent repeats its calls, as they are not answered.
func (c discoveryCalls) await(t *testing.T, name string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case called := <-c:
			if called == name {
				return
			}
		case <-timeout:
			t.Fatalf("the %s discovery was not called", name)
		}
	}
}

// pushedConfig is the configuration of an agent that keeps a watch at a discovery service.
func pushedConfig(t *testing.T, discovery string) []byte {
	t.Helper()
	config := newConfig(discovery)
	config.Settings.DiscoveryMode = balancer.DiscoveryPushed
	return config.text(t)
}

// reload has the program read a new file, and waits for the line that it logs then.
func (p *program) reload(t *testing.T, config []byte, logged *regexp.Regexp) {
	t.Helper()
	p.writeConfig(t, config)
	p.signal(t, syscall.SIGHUP)
	p.awaitLine(t, logged)
}

// SIGHUP: the program runs on, calls discovery at the address that the file names now, whatever the environment had
// at the start, and an invalid file changes nothing.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	calls := make(discoveryCalls, maxDiscoveryCalls)
	first := calls.serve(t, "first")
	second := calls.serve(t, "second")
	p := newProgram(t, pushedConfig(t, first))
	p.setenv("PROXY_DISCOVERY", first)
	p.start(t)
	calls.await(t, "first")
	p.reload(t, []byte("nonsense"), reloadFailed)
	p.reload(t, pushedConfig(t, second), discoveryMoved)
	calls.await(t, "second")
	calls.await(t, "second") // the call after the one that was not answered
	select {
	case called := <-calls:
		t.Errorf("the %s discovery was called as well", called)
	default:
	}
	p.signal(t, syscall.SIGTERM)
	p.collectLog()
	p.expectCleanEnd(t)
}
