package emulator

import "time"

// Model describes a server's machine. A zero field disables the property that it describes.
type Model struct {
	// Kind is the name of the model in the endpoint list.
	Kind  string `toml:"kind"`
	Cores int    `toml:"cores"`
	// Speed is the speed of a core, in standard cores.
	Speed float64 `toml:"speed"`
	// Slots bounds the requests served at the same time, including those that wait for a dependency.
	Slots int `toml:"slots"`
	// Queue bounds the requests that wait for a slot. Further requests are rejected.
	Queue int `toml:"queue"`
	// SlowStartFrom is the fraction of its capacity that a server has right after a start. The fraction grows linearly
	// and reaches 1 after SlowStartFor.
	SlowStartFrom float64       `toml:"cold_from"`
	SlowStartFor  time.Duration `toml:"cold_for"`
	// ThrashLoss is the fraction of the capacity that is lost at twice ThrashAt requests per core or more. The loss
	// starts at ThrashAt and grows linearly.
	ThrashLoss float64    `toml:"thrash"`
	ThrashAt   float64    `toml:"thrash_at"`
	Congestion Congestion `toml:"choke"`
	// CacheSaving is the fraction of its work that a request with a cached key saves. A key stays cached for CacheTTL
	// after its last use. At most CacheSize keys are cached.
	CacheSaving float64       `toml:"key_gain"`
	CacheTTL    time.Duration `toml:"key_for"`
	CacheSize   int           `toml:"keys"`
	// MaxConnections bounds the open connections. Requests on further connections are rejected.
	MaxConnections int `toml:"conns"`
	// HandshakeWork is the work of a new connection's handshake, on a standard core.
	HandshakeWork time.Duration `toml:"handshake"`
	// HealthCheckWork is the work of a health check, on a standard core.
	HealthCheckWork time.Duration `toml:"probe"`
	// ErrorRate is the fraction of the requests that fail immediately.
	ErrorRate float64 `toml:"error_rate"`
}

// Congestion describes how a server slows down after a long overload. When the server has had more than OnsetLoad
// requests per core for OnsetTime, it becomes slower by Factor. This ends when it has had less than RecoveryLoad
// requests per core for RecoveryTime, or after MaxTime.
type Congestion struct {
	OnsetLoad    float64       `toml:"at"`
	RecoveryLoad float64       `toml:"below"`
	OnsetTime    time.Duration `toml:"over"`
	RecoveryTime time.Duration `toml:"rest"`
	MaxTime      time.Duration `toml:"most"`
	Factor       float64       `toml:"slower"`
}

// capacityFraction returns the fraction of its capacity that a server has at the given age.
func (m *Model) capacityFraction(age time.Duration) float64 {
	if m.SlowStartFor <= 0 || age >= m.SlowStartFor {
		return 1
	}
	progress := float64(max(0, age)) / float64(m.SlowStartFor)
	return m.SlowStartFrom + (1-m.SlowStartFrom)*progress
}
