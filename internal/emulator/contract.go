package emulator

import "time"

// Contract are the figures of the four rules (WIRE, "Operating rules"), and what a judge
// allows beyond them for the sockets (PROTOCOL, "The rules on sockets").
type Contract struct {
	DrainGrace       time.Duration
	SlowStartFrom    float64
	SlowStartFor     time.Duration
	OverloadMultiple float64
	OverloadWindow   time.Duration
	Slack            time.Duration
}

// Cold is how many requests of mean work (in seconds of a standard core) a node of a model may
// be sent between two ages: FallMultiple times its capacity on the slowest climb.
func (c *Contract) SlowStartLimit(m Model, from, to time.Duration, mean float64) float64 {
	slowest := Model{SlowStartFrom: c.SlowStartFrom, SlowStartFor: c.SlowStartFor}
	// The climb is even, so the middle's capacity is the mean of both ends'.
	part := (slowest.capacityFraction(from) + slowest.capacityFraction(to)) / 2
	return c.OverloadMultiple * part * (to - from).Seconds() * float64(m.Cores) * m.Speed / mean
}
