package config

import (
	"testing"
)

// Whatever a configuration allows, one process and two side by side stay within its descriptors with every
// slot used, and each side has some.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := MinSockets; sockets <= 1024; sockets++ {
		c := &Config{Sockets: sockets}
		one := c.ClientConns() + c.ServerConns() + c.AdminConns(1) + fixedSockets
		two := 2 * ((c.ClientConns()+1)/2 + c.ServerConns()/2 + c.AdminConns(2) + fixedSockets)
		if one > sockets || two > sockets || c.ClientConns() < 16 || c.AdminConns(2) < 2 {
			t.Fatalf("%d descriptors: one process takes %d, two %d; %d for clients, %d for operators", sockets, one, two,
				c.ClientConns(), c.AdminConns(2))
		}
	}
}
