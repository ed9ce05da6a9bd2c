package config

import "testing"

// For every number of descriptors, one process or two side by side stay within it with all slots in use, and each kind
// of connection has some.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := minSockets; sockets <= 1024; sockets++ {
		cfg := &Config{Sockets: sockets}
		one := cfg.MaxClientConns() + cfg.MaxServerConns() + cfg.MaxAdminConns(1) + fixedSockets
		two := 2 * ((cfg.MaxClientConns()+1)/2 + cfg.MaxServerConns()/2 + cfg.MaxAdminConns(2) + fixedSockets)
		if one > sockets || two > sockets || cfg.MaxClientConns() < 16 || cfg.MaxAdminConns(2) < 2 {
			t.Fatalf("%d descriptors: one process needs %d, two need %d; clients get %d, operators %d", sockets, one, two,
				cfg.MaxClientConns(), cfg.MaxAdminConns(2))
		}
	}
}
