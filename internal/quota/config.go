package quota

import (
	"errors"
	"fmt"
	"time"
)

// maxClockDriftLimit bounds MaxClockDrift: with more, a clock's bounds have no useful ratio.
const maxClockDriftLimit = 0.5

// Config is how a process takes part in budgets. All processes of a fleet have the same values, but for Process.
type Config struct {
	// Process identifies this run of this agent, as in the membership.
	Process string
	// Size is the number of agents that the configuration names.
	Size int
	// Budgets are what the whole fleet may spend, by name, in any window of the length Window.
	Budgets map[string]Amount
	Window  time.Duration
	// LoanDuration is how long a loan lasts, from its request on.
	LoanDuration time.Duration
	// LendableFraction is the part of a share, from 0 to 1, that may be lent. A process that has just started cannot
	// use that part until the loans of its predecessors have expired.
	LendableFraction float64
	// MaxClockDrift bounds how fast or slow a process's clock runs, as a part of true time: 0.01 is 1 %.
	MaxClockDrift float64
	// MaxLoans bounds the loans that a process has given, and those that it has received, of one budget.
	MaxLoans int
}

// check tells why the configuration can't be used.
func (c *Config) check() error {
	switch {
	case c.Process == "":
		return errors.New("quota: a process's identity is needed")
	case c.Size < 1:
		return fmt.Errorf("quota: the size of the fleet must be 1 at least, is %d", c.Size)
	case c.Window <= 0 || c.LoanDuration <= 0:
		return errors.New("quota: window and loan duration must be above 0")
	case !(c.LendableFraction >= 0 && c.LendableFraction <= 1):
		return fmt.Errorf("quota: the lendable fraction must be from 0 to 1, is %g", c.LendableFraction)
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift < maxClockDriftLimit):
		return fmt.Errorf("quota: the clock drift must be from 0 to below %g, is %g", maxClockDriftLimit, c.MaxClockDrift)
	case c.MaxLoans < 1:
		return fmt.Errorf("quota: the number of loans must be 1 at least, is %d", c.MaxLoans)
	}
	for name, budget := range c.Budgets {
		if budget < 0 {
			return fmt.Errorf("quota: budget %q is below 0", name)
		}
	}
	return nil
}

// atLeast is a time on this clock in which at least d passes on every clock that keeps within MaxClockDrift.
func (c *Config) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// atMost is a time on this clock in which at most d passes on every clock that keeps within MaxClockDrift.
func (c *Config) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}
