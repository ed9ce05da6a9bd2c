package emulator

import "time"

// Contract holds the parameters of the four operating rules (WIRE, "Operating rules") and the tolerance for delays of
// sockets (PROTOCOL, "The rules on sockets").
type Contract struct {
	// DrainGrace is how long an agent may still forward requests to a server after the notification of its removal.
	DrainGrace time.Duration
	// SlowStartFrom and SlowStartFor describe the slowest slow start that agents must expect: the fraction of its
	// capacity that a server has right after its start, and the time until it has all of it.
	SlowStartFrom float64
	SlowStartFor  time.Duration
	// A server in slow start is overloaded if it receives more than OverloadMultiple times its capacity within
	// OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration
	// Slack is added to every time limit to allow for delays of sockets and timers.
	Slack time.Duration
}

// SlowStartLimit returns how many requests of mean work a server of a model may receive between two ages:
// OverloadMultiple times its capacity in the slowest slow start. The mean is in seconds of a standard core.
func (c *Contract) SlowStartLimit(m Model, from, to time.Duration, mean float64) float64 {
	slowest := Model{SlowStartFrom: c.SlowStartFrom, SlowStartFor: c.SlowStartFor}
	// Capacity grows linearly, so its mean over the interval is the mean of both ends.
	const ends = 2
	fraction := (slowest.capacityFraction(from) + slowest.capacityFraction(to)) / ends
	return c.OverloadMultiple * fraction * (to - from).Seconds() * float64(m.Cores) * m.Speed / mean
}
