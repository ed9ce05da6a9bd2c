package emulator

import "fmt"

// Ports of an agent's address.
const (
	ListenPort    = 8000
	AdminPort     = 8001
	DiscoveryPort = 8500
)

const (
	serverPort = 8000
	// hostsPerSubnet is the number of addresses used in each /24 network. subnetsPerZone is the number of /24 networks
	// with the addresses at which servers listen for the agents of one zone.
	hostsPerSubnet = 250
	subnetsPerZone = 12
)

// Address returns, as host:port, the address of the given port of the agent with the given index.
func (e *Emulator) Address(agentIndex, port int) string {
	subnet := agentIndex / hostsPerSubnet
	host := agentIndex%hostsPerSubnet + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", e.network, subnet, host, port)
}

// serverAddress returns the host and port at which a server listens for the agents of a zone.
func (e *Emulator) serverAddress(serverIndex, clientZone int) string {
	subnet := subnetsPerZone*clientZone + serverIndex/hostsPerSubnet%subnetsPerZone
	host := serverIndex%hostsPerSubnet + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", e.network+1, subnet, host, serverPort)
}
