package memory

import "testing"

// traffic returns the memory that all connections, requests and bodies take when every part is used up.
func (l Limits) traffic() int64 {
	return int64(l.ClientConns)*ClientConnCost + int64(l.ServerConns)*ServerConnCost +
		l.Requests + l.RequestBodies + l.ResponseBodies + l.Uploads
}

// All parts together fit into the limit of the runtime, and with the program into that of the process, for one process
// and for two side by side that have half of each part. Clients get the third of the descriptors that they use.
func TestPartsFitIntoTheLimit(t *testing.T) {
	for memoryMB := int64(32); memoryMB <= 192; memoryMB++ {
		for _, sockets := range []int{256, 512, 1024} {
			for _, servers := range []int{0, 20, 200} {
				most := (sockets - sockets/8) / 2
				limits := Divide(memoryMB*mebibyte, most, most, servers)
				base := int64(baseBytes + servers*bytesPerServer)
				if limits.Runtime+programBytes+threadBytes > memoryMB*mebibyte {
					t.Fatalf("%d MB: the runtime has %d bytes", memoryMB, limits.Runtime)
				}
				if used := base + limits.traffic(); used > limits.Runtime {
					t.Errorf("%d MB, %d descriptors: %d bytes of %d used", memoryMB, sockets, used, limits.Runtime)
				}
				if used := 2*base + limits.traffic(); used > limits.Runtime+base {
					t.Errorf("%d MB, %d descriptors: two processes use %d bytes of %d", memoryMB, sockets, used, limits.Runtime)
				}
				if servers < 200 && limits.ClientConns < sockets/3 {
					t.Errorf("%d MB, %d descriptors: %d client connections", memoryMB, sockets, limits.ClientConns)
				}
				if limits.LargeRequests >= limits.Requests || limits.Streams >= int64(limits.ServerConns) {
					t.Errorf("%d MB, %d descriptors: long messages may use everything: %+v", memoryMB, sockets, limits)
				}
				if limits.UnprovenRequests >= limits.Requests {
					t.Errorf("%d MB, %d descriptors: new clients may use everything: %+v", memoryMB, sockets, limits)
				}
			}
		}
	}
}

// The cost of a head grows with its size and with its number of fields, and an ordinary one has none of its own.
func TestHeadCost(t *testing.T) {
	if cost := HeadCost(500, 10); cost != 0 {
		t.Errorf("an ordinary head costs %d bytes", cost)
	}
	if small, large := HeadCost(2000, 10), HeadCost(16000, 10); small <= 0 || large <= small {
		t.Errorf("costs of heads by size: %d, %d", small, large)
	}
	if few, many := HeadCost(500, 20), HeadCost(500, 100); few <= 0 || many <= few {
		t.Errorf("costs of heads by fields: %d, %d", few, many)
	}
}
