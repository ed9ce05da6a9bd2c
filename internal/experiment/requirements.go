package experiment

import (
	"fmt"
	"runtime"
	"syscall"

	"fernbeam.example/fernbeam/internal/processtest"
)

// What a run takes.
const (
	processorsPerRequestRate = 0.001 // for each request per second, in all processes
	processorsPerAgent       = 0.001 // of an idle agent
	processorsOfHarness      = 0.5
	megabytesPerAgent        = 14
	megabytesPerServer       = 4
	megabytesOfHarness       = 200
	descriptorsPerAgent      = 8 // besides one connection to each server
	descriptorsOfHarness     = 200
	// descriptorsPerListener counts the listener and the connection that fills its backlog in a partition.
	descriptorsPerListener = 2
)

// checkMachine returns an error, which says what the scenario needs, if this machine is too small. It raises the
// process's limit of descriptors as far as it is needed and allowed.
func (s *Scenario) checkMachine() error {
	agents, servers := s.Fleet.Agents, s.Fleet.Servers
	available := float64(runtime.NumCPU())
	needed := s.requestRate()*processorsPerRequestRate + float64(agents)*processorsPerAgent + processorsOfHarness
	if needed > available {
		return fmt.Errorf("%d agents and %.0f requests a second take some %.1f processors, and %.0f are here",
			agents, s.requestRate(), needed, available)
	}
	megabytes := agents*megabytesPerAgent + servers*megabytesPerServer + megabytesOfHarness
	if free := processtest.AvailableMemoryMB(); megabytes > free {
		return fmt.Errorf("%d agents and %d servers take some %d MB, and %d MB are free",
			agents, servers, megabytes, free)
	}
	return s.raiseDescriptorLimit()
}

// raiseDescriptorLimit makes sure that the process may open the descriptors that the scenario needs.
func (s *Scenario) raiseDescriptorLimit() error {
	agents, servers := s.Fleet.Agents, s.Fleet.Servers
	// A server has a listener for each zone; most agents keep one connection to each server.
	listeners := servers * len(s.Fleet.Zones)
	needed := uint64(descriptorsOfHarness + listeners*descriptorsPerListener + agents*(descriptorsPerAgent+servers))
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if needed > limit.Max {
		return fmt.Errorf("%d agents and %d servers take some %d descriptors, and %d are allowed",
			agents, servers, needed, limit.Max)
	}
	if needed <= limit.Cur {
		return nil
	}
	limit.Cur = needed
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
}
