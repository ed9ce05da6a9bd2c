package experiment

import (
	"fmt"
	"runtime"
	"syscall"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Estimated resource needs of a run.
const (
	processorsPerRequestRate = 0.001 // for each request per second, over all processes
	processorsPerAgent       = 0.001 // when idle
	processorsOfHarness      = 0.5
	megabytesPerAgent        = 14
	megabytesPerServer       = 4
	megabytesOfHarness       = 200
	descriptorsPerAgent      = 8 // in addition to one connection to each server
	descriptorsOfHarness     = 200
	// descriptorsPerListener counts the listener and the connection that fills its backlog during a partition.
	descriptorsPerListener = 2
)

// checkMachine returns an error that states what the scenario needs if this machine is too small for it. It raises the
// process's soft limit on open files if needed.
func (s *Scenario) checkMachine() error {
	agents, servers := s.Fleet.Agents, s.Fleet.Servers
	available := float64(runtime.NumCPU())
	needed := s.requestRate()*processorsPerRequestRate + float64(agents)*processorsPerAgent + processorsOfHarness
	if needed > available {
		return fmt.Errorf("%d agents and %.0f requests per second need about %.1f processors; %.0f are available",
			agents, s.requestRate(), needed, available)
	}
	megabytes := agents*megabytesPerAgent + servers*megabytesPerServer + megabytesOfHarness
	if free := processtest.AvailableMemoryMB(); megabytes > free {
		return fmt.Errorf("%d agents and %d servers need about %d MB of memory; %d MB are available",
			agents, servers, megabytes, free)
	}
	return s.raiseDescriptorLimit()
}

// raiseDescriptorLimit raises the soft limit on open files to the scenario's need. It returns an error if the hard
// limit is lower.
func (s *Scenario) raiseDescriptorLimit() error {
	agents, servers := s.Fleet.Agents, s.Fleet.Servers
	// Each server has a listener for each zone. Most agents keep one connection to each server.
	listeners := servers * len(s.Fleet.Zones)
	needed := uint64(descriptorsOfHarness + listeners*descriptorsPerListener + agents*(descriptorsPerAgent+servers))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if needed > limit.Max {
		return fmt.Errorf("%d agents and %d servers need about %d file descriptors; %d are allowed",
			agents, servers, needed, limit.Max)
	}
	if needed <= limit.Cur {
		return nil
	}
	limit.Cur = needed
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}
