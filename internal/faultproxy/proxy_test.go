package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"
)

const (
	// testTimeout bounds each wait in these tests.
	testTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = time.Millisecond
	// silentTime is the time for which a connection has to deliver nothing to count as cut.
	silentTime = 50 * time.Millisecond
	// packetsEachWay is the number of packets that TestPacketsFollowRuleAndSeed sends in each direction.
	packetsEachWay = 200
)

// testProcess simulates a process that listens at the address that a proxy assigns to it.
type testProcess struct {
	t         *testing.T
	addresses Addresses
	udp       *net.UDPConn
	tcp       net.Listener
}

// startProcess adds a process to a proxy. Its sockets are closed when the test ends.
func startProcess(t *testing.T, p *Proxy, name string) *testProcess {
	t.Helper()
	addresses, err := p.AddProcess(name)
	if err != nil {
		t.Fatal(err)
	}
	process := &testProcess{t: t, addresses: addresses}
	bind := netip.MustParseAddrPort(addresses.Bind)
	if process.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(bind)); err != nil {
		t.Fatal(err)
	}
	var config net.ListenConfig
	if process.tcp, err = config.Listen(t.Context(), "tcp4", addresses.Bind); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.close)
	return process
}

// close closes the process's sockets, which may be closed already.
func (process *testProcess) close() {
	process.t.Helper()
	for _, err := range []error{process.udp.Close(), process.tcp.Close()} {
		if err != nil && !errors.Is(err, net.ErrClosed) {
			process.t.Error(err)
		}
	}
}

// send sends a packet to another process.
func (process *testProcess) send(to *testProcess, text string) {
	process.t.Helper()
	addr := netip.MustParseAddrPort(to.addresses.Advertise)
	if _, err := process.udp.WriteToUDPAddrPort([]byte(text), addr); err != nil {
		process.t.Error(err)
	}
}

// dial connects to another process.
func (process *testProcess) dial(to *testProcess) (net.Conn, error) {
	process.t.Helper()
	local := netip.AddrPortFrom(netip.MustParseAddrPort(process.addresses.Bind).Addr(), 0)
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(local), Timeout: testTimeout}
	return dialer.DialContext(process.t.Context(), "tcp4", to.addresses.Advertise)
}

// receiveUntilEnd returns the packets received before one with the text "end", which has to arrive within testTimeout.
func (process *testProcess) receiveUntilEnd() (got []string) {
	process.t.Helper()
	if err := process.udp.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		process.t.Fatal(err)
	}
	buf := make([]byte, 100)
	for {
		n, err := process.udp.Read(buf)
		if err != nil {
			process.t.Fatal(err)
		}
		if string(buf[:n]) == "end" {
			return got
		}
		got = append(got, string(buf[:n]))
	}
}

// serveEcho accepts connections until the process is closed, and sends back the data that each receives.
func (process *testProcess) serveEcho() {
	for {
		conn, err := process.tcp.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the peer notices the close
			_, _ = io.Copy(conn, conn)          // until the peer or a cut ends the connection
		}()
	}
}

// echo sends a byte on a connection and reads the one that is sent back.
func echo(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// readWithin reads a byte from a connection within a timeout and returns the error of the read.
func readWithin(t *testing.T, conn net.Conn, timeout time.Duration) error {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Error(err)
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// receiveWithSeed sends packets from x to y under a rule, and from y to x under a cut, and returns those that y has
// received. It fails the test if a packet passes the cut.
func receiveWithSeed(t *testing.T, seed uint64) []string {
	t.Helper()
	p, err := New(seed)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	x, y := startProcess(t, p, "x"), startProcess(t, p, "y")
	defer x.close()
	defer y.close()
	p.Set("x", "y", Rule{Loss: 0.3, Duplicate: 0.1, Replay: 0.1})
	p.Set("y", "x", Rule{Cut: true})
	for i := range packetsEachWay {
		x.send(y, fmt.Sprint(i))
		y.send(x, "cut off")
	}
	awaitPackets(t, p, 2*packetsEachWay)
	p.Clear()
	x.send(y, "end")
	y.send(x, "end")
	if got := x.receiveUntilEnd(); len(got) > 0 {
		t.Errorf("%d packets passed a cut", len(got))
	}
	return y.receiveUntilEnd()
}

// awaitPackets waits until a proxy has received the given number of packets.
func awaitPackets(t *testing.T, p *Proxy, packets uint64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); p.Counts().Packets < packets; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d packets received within %v", p.Counts().Packets, packets, testTimeout)
		}
	}
}

// TestPacketsFollowRuleAndSeed checks that the same seed loses, duplicates and replays the same packets, about as many
// as the rule says, and that a cut of one direction does not affect the other.
func TestPacketsFollowRuleAndSeed(t *testing.T) {
	first, second, other := receiveWithSeed(t, 7), receiveWithSeed(t, 7), receiveWithSeed(t, 8)
	if !slices.Equal(first, second) {
		t.Error("different packets arrived with the same seed")
	}
	if slices.Equal(first, other) {
		t.Error("the same packets arrived with another seed")
	}
	once := slices.Compact(slices.Clone(first))
	lost, twice := packetsEachWay-len(once), len(first)-len(once)
	if lost < 30 || lost > 90 || twice < 10 || twice > 60 {
		t.Errorf("%d of %d lost and %d duplicated or replayed, with fractions of 0.3 and 0.2", lost, packetsEachWay, twice)
	}
}

// TestStreamsDuringAndAfterCut checks that a cut interrupts connections silently and resets them when it ends, that
// connections work after the cut, and that a process that is not running refuses them.
func TestStreamsDuringAndAfterCut(t *testing.T) {
	p, err := New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	x, y := startProcess(t, p, "x"), startProcess(t, p, "y")
	go y.serveEcho()
	before, err := x.dial(y)
	if err != nil || echo(before) != nil {
		t.Fatalf("a connection without rules fails: %v", err)
	}
	p.Partition("p", []string{"x"}, []string{"y"})
	during, err := x.dial(y)
	if err != nil {
		t.Fatal(err)
	}
	checkCutConnections(t, p, map[string]net.Conn{"open before": before, "opened during": during})
	after, err := x.dial(y)
	if err != nil || echo(after) != nil {
		t.Fatalf("a connection after the cut fails: %v", err)
	}
	if err := y.tcp.Close(); err != nil {
		t.Error(err)
	}
	gone, err := x.dial(y)
	if err == nil {
		err = echo(gone)
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("a connection to a process that is not running returned error %v, want a reset", err)
	}
}

// checkCutConnections checks that connections deliver nothing during the partition "p", and that they are reset when it
// ends. The keys of conns say when the connections were opened, relative to the cut.
func checkCutConnections(t *testing.T, p *Proxy, conns map[string]net.Conn) {
	t.Helper()
	for name, conn := range conns {
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Errorf("a write on a connection %s the cut failed: %v", name, err)
		}
		var timeout net.Error
		if err := readWithin(t, conn, silentTime); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("a connection %s the cut is not silent: %v", name, err)
		}
	}
	p.Heal("p")
	for name, conn := range conns {
		if err := readWithin(t, conn, testTimeout); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a connection %s the cut ended with error %v after it, want a reset", name, err)
		}
	}
}
