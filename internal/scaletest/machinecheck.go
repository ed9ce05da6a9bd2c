package scaletest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"

	"fernbeam.example/fernbeam/internal/processtest"
)

// What a process takes at most: its resident memory, by the size of its fleet, and its descriptors.
const (
	hollowMB          = 1.5  // a hollow agent's part of its process
	hollowMBPerMember = 0.01 // for each member of its fleet
	realMB            = 15.0
	realMBPerMember   = 0.06
	discoveryMB       = 40.0
	// hollowDescriptors are the descriptors of a hollow agent, with those that its membership may open while it
	// joins. hostDescriptors are those of its process.
	hollowDescriptors = 40
	hostDescriptors   = 32
	// memoryDivisor is the number that the machine's memory is divided by: a fleet may take half.
	memoryDivisor = 2
	kbPerMB       = 1024
	// maxProcesses is the number of processes that the project may run on a machine.
	maxProcesses = 300
)

// machineLimits is what a fleet may take of this machine.
type machineLimits struct {
	memoryMB     int // half of the machine's memory
	freeMemoryMB int
	descriptors  uint64 // of a process
}

// readMachineLimits reads what a fleet may take of this machine.
func readMachineLimits() (machineLimits, error) {
	total, err := totalMemoryMB()
	if err != nil {
		return machineLimits{}, err
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		return machineLimits{}, err
	}
	return machineLimits{
		memoryMB:     total / memoryDivisor,
		freeMemoryMB: processtest.AvailableMemoryMB(),
		descriptors:  files.Cur,
	}, nil
}

// CheckMachine returns an error if this machine can't run one of the plan's sizes: within half of its
// memory, its free memory, 300 processes and the descriptors of a process.
func (p *Plan) CheckMachine() error {
	limits, err := readMachineLimits()
	if err != nil {
		return err
	}
	for _, hollow := range p.Sizes {
		if err := p.checkSize(hollow, limits); err != nil {
			return err
		}
	}
	return nil
}

// checkSize compares what a size takes with limits; its error is a *keyError.
func (p *Plan) checkSize(hollow int, limits machineLimits) error {
	hosts := hostCount(hollow, p.AgentsPerHost)
	memoryMB := p.memoryMB(hollow)
	processes := hosts + p.Real + p.DiscoveryInstances + 1
	descriptors := uint64(min(p.AgentsPerHost, hollow)*hollowDescriptors + hostDescriptors)
	fleet := fmt.Sprintf("%d hollow agents in %d processes, %d real ones and %d discovery instances",
		hollow, hosts, p.Real, p.DiscoveryInstances)
	switch {
	case processes > maxProcesses:
		return invalid("sizes", "%s are %d processes with the runner, and %d are allowed", fleet, processes, maxProcesses)
	case memoryMB > limits.memoryMB:
		return invalid("sizes", "%s take some %d MB, and half of this machine's memory is %d MB",
			fleet, memoryMB, limits.memoryMB)
	case memoryMB > limits.freeMemoryMB:
		return invalid("sizes", "%s take some %d MB, and %d MB are free", fleet, memoryMB, limits.freeMemoryMB)
	case descriptors > limits.descriptors:
		return invalid("sizes", "%s take some %d descriptors a process, and %d are allowed",
			fleet, descriptors, limits.descriptors)
	}
	return nil
}

// memoryMB is the memory that a fleet with a number of hollow agents takes.
func (p *Plan) memoryMB(hollow int) int {
	size := float64(hollow + p.Real)
	hollowAgents := float64(hollow) * (hollowMB + hollowMBPerMember*size)
	realAgents := float64(p.Real) * (realMB + realMBPerMember*size)
	return int(hollowAgents + realAgents + float64(p.DiscoveryInstances)*discoveryMB)
}

// totalMemoryMB is this machine's memory (proc(5), meminfo).
func totalMemoryMB() (int, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "MemTotal: %d kB", &kb); err == nil {
			return kb / kbPerMB, nil
		}
	}
	return 0, errors.New("/proc/meminfo: no MemTotal")
}
