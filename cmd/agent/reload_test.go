package main

import (
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxDiscoveryCalls is the capacity of discoveryCalls.
const maxDiscoveryCalls = 100

// Patterns of the lines that the agent logs after a reload.
var (
	reloadFailed   = regexp.MustCompile("reload failed")
	discoveryMoved = regexp.MustCompile("discovery moved")
	reloaded       = regexp.MustCompile("discovery moved|reload failed")
)

// discoveryCalls receives the name of a discovery service for each call to it.
type discoveryCalls chan string

// startDiscovery starts a discovery service that answers no calls, and returns its address.
func (c discoveryCalls) startDiscovery(t *testing.T, name string) (addr string) {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		c <- name
		neverRespond(w, r)
	})
}

// await waits for a call to the service with the given name. The agent repeats its calls since they are not answered.
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
			t.Fatalf("the %s discovery service was not called", name)
		}
	}
}

// pushedConfig returns the configuration file of an agent that watches a discovery service.
func pushedConfig(t *testing.T, discovery string) []byte {
	t.Helper()
	config := newConfig(discovery)
	config.Settings.DiscoveryMode = balancer.DiscoveryPushed
	return config.text(t)
}

// reload makes the program read a new configuration file and waits for the line that it logs as a result.
func (p *program) reload(t *testing.T, config []byte, logged *regexp.Regexp) {
	t.Helper()
	p.writeConfig(t, config)
	p.signal(t, syscall.SIGHUP)
	p.awaitLine(t, logged)
}

// At SIGHUP, the program must keep running and call the discovery service at the address in the new file, even if the
// environment set another one at the start. An invalid file must not change anything.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	calls := make(discoveryCalls, maxDiscoveryCalls)
	first := calls.startDiscovery(t, "first")
	second := calls.startDiscovery(t, "second")
	p := newProgram(t, pushedConfig(t, first))
	p.setenv("PROXY_DISCOVERY", first)
	p.start(t)
	calls.await(t, "first")
	p.reload(t, []byte("nonsense"), reloadFailed)
	p.reload(t, pushedConfig(t, second), discoveryMoved)
	calls.await(t, "second")
	calls.await(t, "second") // the agent calls again because the first call was not answered
	select {
	case called := <-calls:
		t.Errorf("the %s discovery service was called too", called)
	default:
	}
	p.signal(t, syscall.SIGTERM)
	p.collectLog()
	p.expectCleanEnd(t)
}

// A file whose classes lack a key that may be absent is not refused, so that discovery is followed to its new address.
func TestSIGHUPWithoutOptionalKeyMovesDiscovery(t *testing.T) {
	calls := make(discoveryCalls, maxDiscoveryCalls)
	first := calls.startDiscovery(t, "first")
	second := calls.startDiscovery(t, "second")
	withKey := strings.Replace(string(pushedConfig(t, first)), `"aimMs":`, `"aimStretch":2,"aimMs":`, 1)
	p := newProgram(t, []byte(withKey))
	p.start(t)
	calls.await(t, "first")
	p.reload(t, pushedConfig(t, second), reloaded)
	calls.await(t, "second")
	p.signal(t, syscall.SIGTERM)
	p.collectLog()
	p.expectCleanEnd(t)
}
