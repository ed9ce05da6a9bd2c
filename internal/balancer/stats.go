package balancer

// Stats sums up the state of the policy for metrics and the log: why requests wait or are rejected.
type Stats struct {
	States             [4]int  // number of listed servers by HealthState
	Queued             int     // requests that wait for capacity
	InFlight           int     // attempts
	ServerLimits       float64 // sum of the servers' concurrency limits, in attempts
	Shed               float64 // part of arriving requests that is rejected at once
	ConcurrencyLimit   float64 // attempts that may be in flight at all servers
	OverloadedFraction float64 // part of the recent responses that came from overloaded servers
}
