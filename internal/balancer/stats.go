package balancer

// Stats summarizes the state of the policy, for metrics and the log. It shows why requests are queued or
// rejected.
type Stats struct {
	States             [4]int  // number of listed servers by HealthState
	Queued             int     // number of queued requests
	InFlight           int     // number of attempts in flight
	ServerLimits       float64 // sum of the servers' concurrency limits, in attempts
	Shed               float64 // fraction of arriving requests that is shed
	ConcurrencyLimit   float64 // limit of the attempts in flight at all servers
	OverloadedFraction float64 // fraction of the recent responses that came from overloaded servers
}
