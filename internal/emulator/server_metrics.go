package emulator

// ServerMetrics holds the metrics of a server over a run.
type ServerMetrics struct {
	Server       string `json:"Node"`
	Requests     uint64 `json:"Requests"`
	Rejected     uint64 `json:"Turned"`
	Handshakes   uint64 `json:"Handshakes"`
	HealthChecks uint64 `json:"Probes"`
	// WorkReceived is the work of all requests, in seconds of a standard core.
	WorkReceived float64 `json:"Work"`
	// BusyCoreSeconds is the time during which cores were busy, summed over the cores, in seconds.
	BusyCoreSeconds float64 `json:"Busy"`
	// SlowStartLoad is the highest load in slow start, as a fraction of the overload limit. If it is above 1, the
	// server failed.
	SlowStartLoad float64 `json:"Cold"`
}

// metrics returns the server's metrics so far.
func (s *server) metrics() ServerMetrics {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	return ServerMetrics{
		Server:          s.endpoint.ID,
		Requests:        s.requests.Load(),
		Rejected:        s.rejected.Load(),
		Handshakes:      s.handshakes.Load(),
		HealthChecks:    s.healthChecks.Load(),
		WorkReceived:    s.machine.workReceived,
		BusyCoreSeconds: s.machine.engine.busyCoreSeconds,
		SlowStartLoad:   s.machine.peakSlowStartLoad,
	}
}
