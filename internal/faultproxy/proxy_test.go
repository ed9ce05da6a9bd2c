package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// testProcess is a process that listens where a proxy tells it to.
type testProcess struct {
	bind, advertise string
	udp             *net.UDPConn
	tcp             net.Listener
}

func startProcess(t *testing.T, p *Proxy, name string) *testProcess {
	t.Helper()
	bind, advertise, err := p.Add(name)
	if err != nil {
		t.Fatal(err)
	}
	process := &testProcess{bind: bind, advertise: advertise}
	if process.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(bind))); err != nil {
		t.Fatal(err)
	}
	if process.tcp, err = net.Listen("tcp4", bind); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.close)
	return process
}

func (process *testProcess) close() {
	process.udp.Close()
	process.tcp.Close()
}

func (process *testProcess) send(to *testProcess, text string) {
	process.udp.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to.advertise))
}

func (process *testProcess) dial(to *testProcess) (net.Conn, error) {
	host, _, _ := net.SplitHostPort(process.bind)
	return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}, Timeout: testTimeout}).Dial("tcp4", to.advertise)
}

// receiveUntilEnd reads packets up to one with the text "end", which has to come.
func (process *testProcess) receiveUntilEnd(t *testing.T) (got []string) {
	t.Helper()
	buf := make([]byte, 100)
	process.udp.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		n, err := process.udp.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		if string(buf[:n]) == "end" {
			return got
		}
		got = append(got, string(buf[:n]))
	}
}

// The same seed loses, duplicates and replays the same packets; a one-way cut is one way.
func TestPacketsFollowRuleAndSeed(t *testing.T) {
	run := func(seed uint64) []string {
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
		for i := range 200 {
			x.send(y, fmt.Sprint(i))
			y.send(x, "cut off")
		}
		for p.Counts().Packets < 400 {
			time.Sleep(time.Millisecond)
		}
		p.Clear()
		x.send(y, "end")
		y.send(x, "end")
		if got := x.receiveUntilEnd(t); len(got) > 0 {
			t.Errorf("%d packets passed a cut", len(got))
		}
		return y.receiveUntilEnd(t)
	}
	first, second, other := run(7), run(7), run(8)
	if !slices.Equal(first, second) {
		t.Error("the same seed gave other packets")
	}
	if slices.Equal(first, other) {
		t.Error("another seed gave the same packets")
	}
	once := slices.Compact(slices.Clone(first))
	if lost, twice := 200-len(once), len(first)-len(once); lost < 30 || lost > 90 || twice < 10 || twice > 60 {
		t.Errorf("%d of 200 lost and %d duplicated or replayed, with fractions of 0.3 and 0.2", lost, twice)
	}
}

// A cut interrupts connections silently and resets them when it heals; a process that does not run refuses
// connections; after the cut connections work.
func TestStreamsDuringAndAfterCut(t *testing.T) {
	p, err := New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	x, y := startProcess(t, p, "x"), startProcess(t, p, "y")
	go func() {
		for {
			c, err := y.tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 10)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					c.Write(buf[:n])
				}
			}()
		}
	}()
	echo := func(c net.Conn) error {
		c.SetDeadline(time.Now().Add(testTimeout))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}
	before, err := x.dial(y)
	if err != nil || echo(before) != nil {
		t.Fatalf("a connection without rules fails: %v", err)
	}
	p.Partition("p", []string{"x"}, []string{"y"})
	during, err := x.dial(y)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"open before": before, "opened during": during} {
		c.Write([]byte("x"))
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		var timeout net.Error
		if _, err := c.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
			t.Errorf("a connection %s the cut is not silent: %v", name, err)
		}
	}
	p.Heal("p")
	for name, c := range map[string]net.Conn{"open before": before, "opened during": during} {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("a connection %s the cut ends with %v after it", name, err)
		}
	}
	after, err := x.dial(y)
	if err != nil || echo(after) != nil {
		t.Fatalf("a connection after the cut fails: %v", err)
	}
	y.tcp.Close()
	gone, err := x.dial(y)
	if err == nil {
		err = echo(gone)
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("a connection to a process that does not run gives %v", err)
	}
}
