package quota

import (
	"errors"
	"fmt"
	"time"
)

// maxClockDriftLimit is the exclusive upper bound of MaxClockDrift: with more drift, the ratio between the fastest and
// the slowest clock is too large to be useful.
const maxClockDriftLimit = 0.5

// Config is the configuration of a process's quotas. All processes of a fleet must have the same values, except for
// Process.
type Config struct {
	// Process identifies this process of this agent, as in the membership.
	Process string
	// Size is the fleet size.
	Size int
	// Budgets has, by name, the amount that the whole fleet may spend in any window of length Window.
	Budgets map[string]Amount
	Window  time.Duration
	// LoanDuration is the duration of a loan, counted from its request.
	LoanDuration time.Duration
	// LendableFraction is the fraction of a share, from 0 to 1, that may be lent. A process that has just started can't
	// use that part of its share until the loans of its predecessors have expired.
	LendableFraction float64
	// MaxClockDrift is the maximum rate error of a process's clock, as a fraction of true time: 0.01 is 1 %.
	MaxClockDrift float64
	// MaxLoans bounds the number of loans that a process has granted, and of those that it has received, per budget. It
	// also bounds the number of its pending requests.
	MaxLoans int
}

// check returns an error if the configuration can't be used.
func (c *Config) check() error {
	switch {
	case c.Process == "":
		return errors.New("quota: process identity must not be empty")
	case c.Size < 1:
		return fmt.Errorf("quota: fleet size must be at least 1, is %d", c.Size)
	case c.Window <= 0 || c.LoanDuration <= 0:
		return errors.New("quota: window and loan duration must be above 0")
	case !(c.LendableFraction >= 0 && c.LendableFraction <= 1):
		return fmt.Errorf("quota: lendable fraction must be from 0 to 1, is %g", c.LendableFraction)
	case !(c.MaxClockDrift >= 0 && c.MaxClockDrift < maxClockDriftLimit):
		return fmt.Errorf("quota: clock drift must be from 0 to below %g, is %g", maxClockDriftLimit, c.MaxClockDrift)
	case c.MaxLoans < 1:
		return fmt.Errorf("quota: maximum number of loans must be at least 1, is %d", c.MaxLoans)
	}
	for name, budget := range c.Budgets {
		if budget < 0 {
			return fmt.Errorf("quota: budget %q is negative", name)
		}
	}
	return nil
}

// atLeast returns a time on this process's clock during which at least d passes on every clock within MaxClockDrift.
func (c *Config) atLeast(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// atMost returns a time on this process's clock during which at most d passes on every clock within MaxClockDrift.
func (c *Config) atMost(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}
