package agent

import (
	"fmt"
	"runtime/metrics"
)

// The names of the metrics of the Go runtime from which its memory is computed.
const (
	mappedMemoryMetric   = "/memory/classes/total:bytes"
	returnedMemoryMetric = "/memory/classes/heap/released:bytes"
)

// describeResources returns the use of the process's memory, connections and budgets in the format of the log, and how
// many requests were refused because one of them was used up.
func (a *Agent) describeResources() string {
	samples := []metrics.Sample{{Name: mappedMemoryMetric}, {Name: returnedMemoryMetric}}
	metrics.Read(samples)
	refusals := a.downstream.Refusals()
	return fmt.Sprintf("{runtimeBytes:%d/%d clientConns:%d/%d requests:%v requestBodies:%v responseBodies:%v streams:%v"+
		" refusedMemory:%d refusedHeads:%d refusedUploads:%d refusedQueued:%d}",
		samples[0].Value.Uint64()-samples[1].Value.Uint64(), a.cfg.MemoryLimit(),
		a.downstream.OpenConns(), a.downstream.ConnLimit(),
		a.downstream.RequestBudgets(), a.downstream.BodyBudget(), a.pool.BodyBudget(), a.pool.Streams(),
		refusals.Memory.Load(), refusals.Heads.Load(), refusals.Uploads.Load(), refusals.Queued.Load())
}
