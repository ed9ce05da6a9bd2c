package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// inheritedFD is the file descriptor of the client listener in the processes that inherit it.
	inheritedFD = 5
	// requestsPerProcess is how many requests are served before the upgrade and again after it.
	requestsPerProcess = 100
)

// sharedListener is a client listener that the platform keeps open and processes inherit.
type sharedListener struct {
	addr string
	file *os.File
	// tempDir is the directory of the lock file by which processes that share the listener detect each other.
	tempDir string
}

// newSharedListener opens a listener, which is closed when the test ends.
func newSharedListener(t *testing.T) sharedListener {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	file, err := listener.File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return sharedListener{addr: listener.Addr().String(), file: file, tempDir: t.TempDir()}
}

// startProgram starts a process that inherits the listener and waits until it is ready.
func (l sharedListener) startProgram(t *testing.T, config agentConfig) *program {
	t.Helper()
	return l.start(t, newProgram(t, config.text(t)))
}

// start starts a prepared program like startProgram.
func (l sharedListener) start(t *testing.T, p *program) *program {
	t.Helper()
	p.cmd.ExtraFiles = []*os.File{nil, nil, l.file} // descriptors 3, 4 and inheritedFD
	p.setenv(listenFDVariable, strconv.Itoa(inheritedFD))
	p.setenv("TMPDIR", l.tempDir)
	_, admin := p.startListening(t)
	p.collectLog()
	isReady := func() bool {
		got, err := getReadiness(t.Context(), admin)
		return err == nil && got.status == http.StatusOK
	}
	if err := processtest.Await(testTimeout, "a ready process", isReady); err != nil {
		t.Fatal(err)
	}
	return p
}

// upgradeTraffic is the traffic of an agent that is upgraded. It counts the outcomes of the requests.
type upgradeTraffic struct {
	addr    string
	stopped atomic.Bool // clients send no more requests

	served, failed atomic.Int64
}

// run sends the requests of one client until the traffic is stopped or a request fails. net/http retries only
// idempotent requests on its own, and these are not.
func (u *upgradeTraffic) run(ctx context.Context) error {
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for !u.stopped.Load() {
		request, err := order{path: orderPath, timeout: trafficTimeout}.request(ctx, u.addr)
		if err != nil {
			return err
		}
		got, err := do(client, request)
		if err != nil {
			return err
		}
		if got.status == http.StatusOK {
			u.served.Add(1)
		}
	}
	return nil
}

// awaitServed waits until the given number of further requests are served or a request has failed.
func (u *upgradeTraffic) awaitServed(t *testing.T, further int64) {
	t.Helper()
	want := u.served.Load() + further
	isDone := func() bool { return u.served.Load() >= want || u.failed.Load() > 0 }
	if err := processtest.Await(testTimeout, "served requests", isDone); err != nil {
		t.Fatalf("%d requests served, want %d: %v", u.served.Load(), want, err)
	}
}

// The agent is upgraded under load: the platform owns the client listener, and a second process takes over from the
// first. No connection of a client may be refused or reset, and no request may remain unanswered.
func TestUpgradeOnAnInheritedListener(t *testing.T) {
	listener := newSharedListener(t)
	config := newConfig(silentDiscovery(t), listedServer("s-1", startServer(t, respond("done"))))
	config.Listen = listener.addr
	config.Management = anyAddress
	before := listener.startProgram(t, config)

	traffic := &upgradeTraffic{addr: listener.addr}
	clients := startParallel(trafficClients, func(int) {
		if err := traffic.run(t.Context()); err != nil {
			traffic.failed.Add(1)
			t.Errorf("a request was lost: %v", err)
		}
	})
	traffic.awaitServed(t, requestsPerProcess)
	after := listener.startProgram(t, config)
	before.signal(t, syscall.SIGTERM)
	before.expectCleanEnd(t)
	traffic.awaitServed(t, requestsPerProcess)
	traffic.stopped.Store(true)
	clients.Wait()
	after.signal(t, syscall.SIGTERM)
	after.expectCleanEnd(t)
}
