package emulator

import "time"

// Contract has the parameters of the four operating rules (WIRE, "Operating rules") and the tolerance for sockets
// (PROTOCOL, "The rules on sockets").
type Contract struct {
	// DrainGrace is how long after the notification of a removal an agent may still forward to the server.
	DrainGrace time.Duration
	// SlowStartFrom and SlowStartFor describe the slowest slow start that agents have to expect: the fraction of
	// the capacity right after a start, and the time until it is complete.
	SlowStartFrom float64
	SlowStartFor  time.Duration
	// A server in slow start is overloaded by more than OverloadMultiple times its capacity within OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// Slack is added to every time limit, for the delays of sockets and timers.
	Slack time.Duration
}

// SlowStartLimit returns how many requests of mean work (in seconds of a standard core) a server of a model may
// receive between two ages: OverloadMultiple times its capacity in the slowest slow start.
func (c *Contract) SlowStartLimit(m Model, from, to time.Duration, mean float64) float64 {
	slowest := Model{SlowStartFrom: c.SlowStartFrom, SlowStartFor: c.SlowStartFor}
	// Capacity grows linearly, so the mean over the time is the mean of both ends.
	const ends = 2
	fraction := (slowest.capacityFraction(from) + slowest.capacityFraction(to)) / ends
	return c.OverloadMultiple * fraction * (to - from).Seconds() * float64(m.Cores) * m.Speed / mean
}
