package processtest

import (
	"fmt"
	"net/netip"
	"testing"
)

// TestProcessAddressesAreDistinct checks that no two listeners of a process get the same address. It reserves many
// ports for one process, so that a repeated one is likely to be found.
func TestProcessAddressesAreDistinct(t *testing.T) {
	const ports = 500
	var names []string
	for i := range ports {
		names = append(names, fmt.Sprint("port-", i))
	}
	cluster, err := New(Config{Binary: "unused", Names: []string{"a"}, Ports: names, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	nameOf := map[string]string{}
	for _, name := range names {
		addr := cluster.Addr("a", name)
		if other := nameOf[addr]; other != "" {
			t.Errorf("%s and %s have the same address %s", other, name, addr)
		}
		nameOf[addr] = name
		if port := netip.MustParseAddrPort(addr).Port(); port < firstPort || port >= endPort {
			t.Errorf("%s has %s, a port that the system may assign to others", name, addr)
		}
	}
}
