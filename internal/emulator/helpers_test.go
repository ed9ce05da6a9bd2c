package emulator

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// smallConfig returns a configuration with one single-core server and one client.
func smallConfig() Config {
	return Config{
		Seed:        1,
		Zones:       []string{"z"},
		Agents:      []Agent{{Name: "a", Share: 1}},
		Servers:     1,
		CellSize:    1,
		Models:      []Model{{Cores: 1, Speed: 1, Slots: 1, Queue: 100}},
		ModelShares: []float64{1},
		Classes: []Class{{
			Share:            1,
			Work:             time.Millisecond,
			LatencyObjective: time.Second,
			TotalTimeout:     time.Second,
			PriorityWeight:   1,
			Idempotency:      balancer.Idempotent,
		}},
		Rate:                1,
		Keys:                1,
		RequestTimeoutShare: 1,
		KeepAlive:           time.Minute,
	}
}
