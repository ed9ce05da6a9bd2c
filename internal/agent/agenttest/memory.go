package agenttest

import "runtime"

// LiveBytes returns the memory in use after two collections: live objects and stacks.
func LiveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
