package agent

import (
	"testing"
)

// Whatever a configuration allows, one process and two side by side stay within its descriptors with every
// slot used, and each side has some.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := minSockets; sockets <= 1024; sockets++ {
		c := &Config{Sockets: sockets}
		one := c.clientConns() + c.serverConns() + c.adminConns(1) + fixedSockets
		two := 2 * ((c.clientConns()+1)/2 + c.serverConns()/2 + c.adminConns(2) + fixedSockets)
		if one > sockets || two > sockets || c.clientConns() < 16 || c.adminConns(2) < 2 {
			t.Fatalf("%d descriptors: one process takes %d, two %d; %d for clients, %d for operators", sockets, one, two,
				c.clientConns(), c.adminConns(2))
		}
	}
}
