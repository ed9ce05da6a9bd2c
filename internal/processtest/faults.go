package processtest

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
)

// The time slices of Starve, which give a process a tenth of the time.
const (
	starvedPause = 90 * time.Millisecond
	starvedRun   = 10 * time.Millisecond
)

// Pause sends SIGSTOP to a running process.
func (c *Cluster) Pause(name string) error { return c.signal(name, syscall.SIGSTOP, ActionPause) }

// Resume sends SIGCONT to a running process.
func (c *Cluster) Resume(name string) error { return c.signal(name, syscall.SIGCONT, ActionResume) }

// signal sends a signal to a running process and records the action.
func (c *Cluster) signal(name string, signal syscall.Signal, action Action) error {
	current := c.running(name)
	if current == nil {
		return fmt.Errorf("processtest: %s: %w", name, ErrNotRunning)
	}
	c.record(name, action, "")
	return current.signal(signal)
}

// PauseFor pauses processes for the duration d.
func (c *Cluster) PauseFor(d time.Duration, names ...string) error {
	for _, name := range names {
		if err := c.Pause(name); err != nil {
			return err
		}
	}
	time.Sleep(d)
	return Each(names, c.Resume)
}

// Starve pauses and resumes processes in turn for the duration d, so that they run in short slices for a tenth of the
// time. It skips processes that have ended.
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

// signalRunning sends a signal to those of the named processes that are running. It records nothing in the history.
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

// Partition cuts every link between processes of different groups and restores the other links. A process of no group
// keeps all of its links. Heal ends the partition.
func (c *Cluster) Partition(groups ...[]string) {
	partition := faultproxy.NewPartition(groups...)
	c.mu.Lock()
	for key, link := range c.links {
		link.SetCut(partition.Separates(key.from, key.to))
	}
	c.mu.Unlock()
	c.record("", ActionPartition, fmt.Sprint(groups))
}

// Heal removes the cut, delay and drop of every link.
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
