package emulator

import "fmt"

// The ports of an agent at its address.
const (
	ListenPort    = 8000
	AdminPort     = 8001
	DiscoveryPort = 8500
)

const (
	serverPort = 8000
	// hostsPerSubnet is how many addresses of a /24 are used, subnetsPerZone how many /24 the servers of a zone have.
	hostsPerSubnet = 250
	subnetsPerZone = 12
)

// Address returns the address of a port of the agent with an index.
func (e *Emulator) Address(agentIndex, port int) string {
	subnet := agentIndex / hostsPerSubnet
	host := agentIndex%hostsPerSubnet + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", e.network, subnet, host, port)
}

// serverAddress returns the address at which a server listens for the agents of a zone.
func (e *Emulator) serverAddress(serverIndex, clientZone int) string {
	subnet := subnetsPerZone*clientZone + serverIndex/hostsPerSubnet%subnetsPerZone
	host := serverIndex%hostsPerSubnet + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", e.network+1, subnet, host, serverPort)
}
