package main

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// descriptorLimit is the maximum number of open descriptors of the program.
	descriptorLimit = 256
	// silentOperators is the number of operators that connect, one per operatorInterval, and send nothing.
	silentOperators  = 300
	operatorInterval = 10 * time.Millisecond
	// operatorsBeforeRecovery is how many of them have connected when the discovery service becomes available again:
	// several times as many as the admin endpoint keeps open.
	operatorsBeforeRecovery = 100
)

// openConns is a set of connections that the clients keep open until close is called. Its methods are safe for
// concurrent use.
type openConns struct {
	mu    sync.Mutex
	conns []*clientConn
}

// dial opens another connection.
func (o *openConns) dial(ctx context.Context, addr string) (*clientConn, error) {
	conn, err := dialAgent(ctx, addr)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns = append(o.conns, conn)
	return conn, nil
}

// size returns the number of connections opened so far.
func (o *openConns) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.conns)
}

// awaitFirstClosed waits until the agent has closed the connection that was opened first.
func (o *openConns) awaitFirstClosed(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	first := o.conns[0]
	o.mu.Unlock()
	if _, err := io.Copy(io.Discard, first.reader); err != nil {
		t.Fatalf("waiting for the close of the first connection: %v", err)
	}
}

// close closes all connections.
func (o *openConns) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, conn := range o.conns {
		conn.close()
	}
}

// dialIdleClients opens more client connections than the agent has descriptors for. They are idle after one response.
func (o *openConns) dialIdleClients(t *testing.T, addr string) {
	t.Helper()
	for range descriptorLimit {
		conn, err := o.dial(t.Context(), addr)
		if err != nil {
			t.Error(err)
			continue
		}
		// An error is ignored: the agent may have closed the connection for lack of descriptors.
		writeBody(conn, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	}
}

// dialSilentOperators opens connections to the admin endpoint and sends nothing on them.
func (o *openConns) dialSilentOperators(t *testing.T, admin string) {
	t.Helper()
	for range silentOperators {
		if _, err := o.dial(t.Context(), admin); err != nil {
			t.Error(err)
		}
		time.Sleep(operatorInterval) // the rate at which operators connect
	}
}

// sendOnce sends a request on a new connection and returns the body of the response, or "" if there is no response.
func sendOnce(t *testing.T, addr string) string {
	t.Helper()
	conn, err := dialAgent(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.close()
	got, err := conn.roundTrip(t.Context(), order{path: orderPath, timeout: trafficTimeout, close: true})
	if err != nil {
		return ""
	}
	return got.body
}

// awaitBody sends requests until a response has the given body. It sends them without a pause, so that they compete
// for descriptors.
func awaitBody(t *testing.T, addr, body string) {
	t.Helper()
	start := time.Now()
	for sendOnce(t, addr) != body {
		if time.Since(start) > testTimeout {
			t.Fatalf("no response with body %q within %v", body, testTimeout)
		}
	}
}

// killAndCheckDescriptors kills the program and checks that it never ran out of descriptors. collectLog must have
// been called.
func (p *program) killAndCheckDescriptors(t *testing.T) {
	t.Helper()
	_ = p.cmd.Process.Kill() // the program may have ended already
	if end := p.awaitEnd(t); strings.Contains(end.log, "too many open files") {
		t.Error("the program ran out of descriptors")
	}
}

// While the discovery service is down, idle clients and silent operators use all descriptors available to them. The
// program must stay within its descriptor limit, which the system enforces here. When the discovery service is
// available again, descriptors must be left for the call to it, for an attempt to a new server and for the admin
// endpoint.
func TestFullDescriptorsLeaveRoomForDiscoveryServersAndAdmin(t *testing.T) {
	first := listedServer("s-1", startServer(t, respond("first")))
	second := listedServer("s-2", startServer(t, respond("second")))
	var discoveryUp atomic.Bool
	discovery := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if !discoveryUp.Load() {
			neverRespond(w, r)
			return
		}
		writeList(w, endpoint.List{Version: 9, Full: true, Servers: []endpoint.Endpoint{second}})
	})
	config := newConfig(discovery, first)
	config.Management = anyAddress
	config.Limits.Sockets = descriptorLimit
	config.Settings.DiscoveryMode = balancer.DiscoveryPushed
	p := newProgram(t, config.text(t))
	p.limitDescriptors(descriptorLimit)
	addr, admin := p.startListening(t)
	p.collectLog()
	defer p.killAndCheckDescriptors(t)

	var clients, operators openConns
	defer clients.close()
	defer operators.close()
	clients.dialIdleClients(t, addr)
	dialing := startParallel(1, func(int) { operators.dialSilentOperators(t, admin) })
	defer dialing.Wait()
	clients.awaitFirstClosed(t) // the agent closes the longest idle connection for lack of descriptors
	haveConnected := func() bool { return operators.size() >= operatorsBeforeRecovery }
	if err := processtest.Await(testTimeout, "silent operators", haveConnected); err != nil {
		t.Fatal(err)
	}
	discoveryUp.Store(true)
	awaitBody(t, addr, "second")
	got, err := getReadiness(t.Context(), admin)
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK {
		t.Errorf("the admin endpoint's status is %d, want 200", got.status)
	}
}
