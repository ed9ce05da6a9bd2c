package processtest

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
)

// The slices of time of a process that Starve lets run for a tenth of the time.
const (
	starvedPause = 90 * time.Millisecond
	starvedRun   = 10 * time.Millisecond
)

// Pause sends SIGSTOP.
func (c *Cluster) Pause(name string) error { return c.signal(name, syscall.SIGSTOP, ActionPause) }

// Resume sends SIGCONT.
func (c *Cluster) Resume(name string) error { return c.signal(name, syscall.SIGCONT, ActionResume) }

// signal sends a signal to a process that runs, and records it.
func (c *Cluster) signal(name string, signal syscall.Signal, action Action) error {
	current := c.running(name)
	if current == nil {
		return fmt.Errorf("processtest: %s: %w", name, ErrNotRunning)
	}
	c.record(name, action, "")
	return current.signal(signal)
}

// PauseFor pauses processes for a time.
func (c *Cluster) PauseFor(d time.Duration, names ...string) error {
	for _, name := range names {
		if err := c.Pause(name); err != nil {
			return err
		}
	}
	time.Sleep(d)
	return Each(names, c.Resume)
}

// Starve lets processes run for a tenth of the time, in short slices, for a time. Those that have ended are left alone.
func (c *Cluster) Starve(d time.Duration, names ...string) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if err := c.signalRunning(syscall.SIGSTOP, names); err != nil {
			return err
		}
		time.Sleep(starvedPause)
		if err := c.signalRunning(syscall.SIGCONT, names); err != nil {
			return err
		}
		time.Sleep(starvedRun)
	}
	return nil
}

// signalRunning sends a signal to those of some processes that run; the history does not have it.
func (c *Cluster) signalRunning(signal syscall.Signal, names []string) error {
	for _, name := range names {
		current := c.running(name)
		if current == nil {
			continue
		}
		if err := current.signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return err
		}
	}
	return nil
}

// Partition cuts every link between processes of different groups; processes of no group keep their links. Heal
// undoes it.
func (c *Cluster) Partition(groups ...[]string) {
	partition := faultproxy.NewPartition(groups...)
	c.mu.Lock()
	for key, link := range c.links {
		link.SetCut(partition.Separates(key.from, key.to))
	}
	c.mu.Unlock()
	c.record("", ActionPartition, fmt.Sprint(groups))
}

// Heal restores every link to pass everything at once.
func (c *Cluster) Heal() {
	c.mu.Lock()
	for _, link := range c.links {
		link.SetCut(false)
		link.SetDelay(0)
		link.SetDrop(0)
	}
	c.mu.Unlock()
	c.record("", ActionHeal, "")
}
