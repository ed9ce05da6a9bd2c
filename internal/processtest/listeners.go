package processtest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"
)

// reservation has the listeners that reserve addresses until release, so that no address is chosen twice.
type reservation struct {
	listeners []net.Listener
}

// release closes the listeners. Each start of a process listens on its addresses again.
func (r *reservation) release() error {
	var failure error
	for _, listener := range r.listeners {
		failure = errors.Join(failure, listener.Close())
	}
	return failure
}

// add reserves an address for each of a process's listeners, and returns the addresses by port name.
func (r *reservation) add(ip net.IP, ports []string) (map[string]string, error) {
	addrs := map[string]string{}
	for _, port := range ports {
		listener, err := listenOnFreePort(ip)
		if err != nil {
			return addrs, err
		}
		r.listeners = append(r.listeners, listener)
		addrs[port] = listener.Addr().String()
	}
	return addrs, nil
}

// ip returns the IP address of a process's listeners.
func (c *Cluster) ip(name string) net.IP {
	if c.cfg.IP == nil {
		return randomLoopbackIP()
	}
	return net.ParseIP(c.cfg.IP(name))
}

// firstPort and endPort bound the ports of processes. They are below the ephemeral ports (from 32768 on), so that the
// system does not assign the port of a process that is down.
const firstPort, endPort = 20_000, 32_000

// maxPortAttempts is the maximum number of ports that are tried to find a free one.
const maxPortAttempts = 1000

// listenOnFreePort listens on a random free port from firstPort to endPort-1.
func listenOnFreePort(ip net.IP) (net.Listener, error) {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(endPort-firstPort)
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port})
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
	}
	return nil, fmt.Errorf("processtest: no free port on %v: %w", ip, syscall.EADDRINUSE)
}

// randomLoopbackIP returns a random loopback address other than 127.0.0.1, which is the source of outgoing connections.
func randomLoopbackIP() net.IP {
	const (
		loopback    = 127
		byteValues  = 256
		innerValues = byteValues - 2 // all but 0 and 255
	)
	innerByte := func() byte { return byte(1 + rand.IntN(innerValues)) }
	return net.IPv4(loopback, innerByte(), byte(rand.IntN(byteValues)), innerByte())
}

// listen opens a process's listeners as files for the process to inherit. If an error occurs, it returns the files that
// were opened before it.
func (c *Cluster) listen(name string, p *process) ([]*os.File, error) {
	var files []*os.File
	for _, port := range c.cfg.Ports {
		file, err := listenFile(p.addrs[port])
		if err != nil {
			return files, fmt.Errorf("processtest: %s: port %s: %w", name, port, err)
		}
		files = append(files, file)
	}
	return files, nil
}

const (
	// listenTimeout bounds how long an address may stay in use after its listener was closed: a process that is being
	// started at that moment has a copy of the listener between fork and exec.
	listenTimeout = 5 * time.Second
	// listenInterval is the time between two attempts to listen.
	listenInterval = 5 * time.Millisecond
)

// listenAgain listens on an address whose previous listener was closed.
func listenAgain(addr *net.TCPAddr) (ln *net.TCPListener, err error) {
	isFree := func() bool {
		ln, err = net.ListenTCP("tcp", addr)
		return !errors.Is(err, syscall.EADDRINUSE)
	}
	if awaitErr := AwaitEvery(listenInterval, listenTimeout, "a free address", isFree); awaitErr != nil {
		return nil, fmt.Errorf("%w: %w", awaitErr, err)
	}
	return ln, err
}

// listenFile opens a listener as a file.
func listenFile(address string) (*os.File, error) {
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	ln, err := listenAgain(addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }() // File returns a duplicate
	return ln.File()
}

// closeAll closes the harness's copies of files that a process inherits.
func closeAll(files []*os.File) {
	for _, file := range files {
		_ = file.Close() // the process has its own descriptors
	}
}
