package experiment

import (
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// keepAlive is how long servers keep an idle connection.
const keepAlive = time.Minute

// Default returns a scenario with the middle of the ranges that the operators state for their site (BRIEF), for a
// fleet of moderate size. It has no classes and no models: a scenario that names none has those of Site.
func Default() *Scenario {
	return &Scenario{
		Name:   "scenario",
		Length: 30 * time.Second,
		Seed:   1,
		Seeds:  1,
		Fleet: Fleet{
			Agents:    12,
			Servers:   12,
			CellSize:  6,
			Zones:     []string{"quito-norte", "quito-sur"},
			ZoneDelay: 1200 * time.Microsecond,
			Cores:     0.2,
			MemoryMB:  64,
			Sockets:   256,
			ListDelay: [2]time.Duration{500 * time.Millisecond, 3 * time.Second},
		},
		Traffic: Traffic{
			Load:                0.6,
			Imbalance:           0.5,
			Keys:                1000,
			Zipf:                0.7,
			Retries:             3,
			RequestTimeoutShare: 0.5,
			RetryDelay:          20 * time.Millisecond,
		},
		Contract: Contract{
			DrainGrace:       300 * time.Millisecond,
			SlowStartFrom:    0.14,
			SlowStartFor:     24 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   2 * time.Second,
		},
	}
}

// Site returns Default with the classes and the models of the site.
func Site() *Scenario {
	s := Default()
	s.applyDefaults()
	return s
}

// applyDefaults gives a scenario without classes or models those of the site.
func (s *Scenario) applyDefaults() {
	if len(s.Classes) == 0 {
		s.Classes = siteClasses()
	}
	if len(s.Models) == 0 {
		s.Models = siteModels()
	}
}

func siteClasses() []emulator.Class {
	return []emulator.Class{
		{
			Name:             "cierre-valor",
			Share:            0.63,
			Work:             58 * time.Millisecond,
			WorkCV:           0.55,
			DependencyWait:   120 * time.Millisecond,
			LatencyObjective: 750 * time.Millisecond,
			TotalTimeout:     3 * time.Second,
			PriorityWeight:   10,
			LateFraction:     0.25,
			Idempotency:      emulator.NonIdempotent,
		},
		{
			Name:             "registro-precio",
			Share:            0.37,
			Work:             57 * time.Millisecond,
			WorkCV:           0.45,
			DependencyWait:   120 * time.Millisecond,
			LatencyObjective: 500 * time.Millisecond,
			TotalTimeout:     2 * time.Second,
			PriorityWeight:   8,
			LateFraction:     0.25,
			Idempotency:      emulator.IdempotentByKey,
			DedupScope:       emulator.DedupCell,
			DedupWindow:      10 * time.Second,
		},
	}
}

func siteModels() []Model {
	common := emulator.Model{
		Cores:           2,
		Slots:           22,
		Queue:           5,
		ThrashLoss:      0.18,
		ThrashAt:        18,
		CacheSaving:     0.45,
		CacheTTL:        6 * time.Second,
		CacheSize:       60,
		MaxConnections:  1500,
		HandshakeWork:   4 * time.Millisecond,
		HealthCheckWork: 42 * time.Microsecond,
		Congestion: emulator.Congestion{
			OnsetLoad:    6,
			RecoveryLoad: 0.3,
			OnsetTime:    2 * time.Second,
			RecoveryTime: 3 * time.Second,
			MaxTime:      25 * time.Second,
			Factor:       2.7,
		},
	}
	normal := Model{Share: 0.59, Model: common}
	normal.Kind = "normal-2c"
	normal.Speed = 0.97
	normal.SlowStartFrom = 0.25
	normal.SlowStartFor = 16 * time.Second
	normal.ErrorRate = 0.0015

	slow := Model{Share: 0.41, Model: common}
	slow.Kind = "lento-2c"
	slow.Speed = 0.6
	slow.SlowStartFrom = 0.2
	slow.SlowStartFor = 17 * time.Second
	return []Model{normal, slow}
}
