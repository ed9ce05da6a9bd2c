package scaletest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// agentCores is the number of processor cores that an agent may use.
	agentCores         = 0.2
	defaultMaxAttempts = 3
)

// configurations creates the configurations of a fleet's agents.
type configurations struct {
	network   [2]byte
	port      int
	size      int
	discovery string
}

// newConfigurations returns the configurations of size agents on a random loopback network, which call the discovery
// service at an address.
func newConfigurations(t *testing.T, discovery string, size int) *configurations {
	t.Helper()
	network := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	c := &configurations{network: network, size: size, discovery: discovery}
	const attempts = 100
	for range attempts {
		if c.selectPort(t) {
			return c
		}
	}
	t.Fatal("no free port")
	return nil
}

// selectPort selects a port that is free for TCP, and reports whether it is free for UDP as well.
func (c *configurations) selectPort(t *testing.T) bool {
	t.Helper()
	var config net.ListenConfig
	tcp, err := config.Listen(t.Context(), "tcp", c.ip(0)+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }() // nothing was accepted
	c.port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := config.ListenPacket(t.Context(), "udp", c.address(0, c.port))
	if err != nil {
		return false
	}
	_ = udp.Close() // nothing was sent
	return true
}

// ip returns the IP address of an agent.
func (c *configurations) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network[0], c.network[1], i+1)
}

// address returns the address of an agent with a port.
func (c *configurations) address(i, port int) string {
	return net.JoinHostPort(c.ip(i), strconv.Itoa(port))
}

// adminAddress returns the address of an agent's admin endpoint.
func (c *configurations) adminAddress(i int) string { return c.address(i, c.port-1) }

// config returns the configuration of an agent, with settings that have the agent watch the endpoint list.
func (c *configurations) config(i int) processtest.AgentFile {
	return processtest.AgentFile{
		Name:       fmt.Sprintf("a%d", i),
		Listen:     c.address(i, clientPort),
		Management: c.adminAddress(i),
		Discovery:  c.discovery,
		Seed:       "1",
		Limits:     processtest.AgentLimitsFor(agentCores),
		Known:      processtest.AgentList{Full: true},
		Fleet: &membership.Config{
			Bind:             c.address(i, c.port),
			Seeds:            []string{c.address(0, c.port), c.address(1, c.port)},
			Site:             "test",
			ProbeIntervalMs:  500,
			SuspectTimeoutMs: 10_000,
			SettleMs:         500,
			ReconnectMs:      1000,
		},
		Settings: processtest.AgentSettings{
			Agents:        c.size,
			MaxAttempts:   defaultMaxAttempts,
			DiscoveryMode: balancer.DiscoveryPushed,
		},
	}
}
