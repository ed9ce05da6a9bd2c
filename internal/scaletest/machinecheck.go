package scaletest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Upper bounds of what a process uses: resident memory, which grows with the size of the fleet, and descriptors.
const (
	hollowMB          = 1.5  // of a hollow agent, within its host process
	hollowMBPerMember = 0.01 // of a hollow agent for each member of the fleet
	realMB            = 15.0
	realMBPerMember   = 0.06
	discoveryMB       = 40.0
	// hollowDescriptors is the number of descriptors of a hollow agent, including those that its membership may open
	// while it joins. hostDescriptors is the number of descriptors that the host process itself needs in addition.
	hollowDescriptors = 40
	hostDescriptors   = 32
	// memoryDivisor divides the machine's memory: a fleet may use half of it.
	memoryDivisor = 2
	kbPerMB       = 1024
	// maxProcesses is the number of processes that a run may have on a machine.
	maxProcesses = 300
)

// machineLimits is what a fleet may use of this machine.
type machineLimits struct {
	memoryMB     int // half of the machine's memory
	freeMemoryMB int
	descriptors  uint64 // for each process
}

// readMachineLimits returns what a fleet may use of this machine.
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

// CheckMachine returns an error if this machine can't run one of the plan's sizes within half of its memory, its free
// memory, 300 processes and the limit of descriptors per process.
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

// checkSize returns a *keyError if a fleet with a number of hollow agents exceeds the limits.
func (p *Plan) checkSize(hollow int, limits machineLimits) error {
	hosts := hostCount(hollow, p.AgentsPerHost)
	memoryMB := p.memoryMB(hollow)
	processes := hosts + p.Real + p.DiscoveryInstances + 1
	descriptors := uint64(min(p.AgentsPerHost, hollow)*hollowDescriptors + hostDescriptors)
	fleet := fmt.Sprintf("%d hollow agents in %d processes, %d real ones and %d discovery instances",
		hollow, hosts, p.Real, p.DiscoveryInstances)
	switch {
	case processes > maxProcesses:
		return invalid("sizes", "%s need %d processes with the runner, but only %d are allowed",
			fleet, processes, maxProcesses)
	case memoryMB > limits.memoryMB:
		return invalid("sizes", "%s need about %d MB, but half of this machine's memory is %d MB",
			fleet, memoryMB, limits.memoryMB)
	case memoryMB > limits.freeMemoryMB:
		return invalid("sizes", "%s need about %d MB, but only %d MB are free", fleet, memoryMB, limits.freeMemoryMB)
	case descriptors > limits.descriptors:
		return invalid("sizes", "%s need about %d descriptors per process, but only %d are allowed",
			fleet, descriptors, limits.descriptors)
	}
	return nil
}

// memoryMB returns the memory that a fleet with a number of hollow agents needs.
func (p *Plan) memoryMB(hollow int) int {
	size := float64(hollow + p.Real)
	hollowAgents := float64(hollow) * (hollowMB + hollowMBPerMember*size)
	realAgents := float64(p.Real) * (realMB + realMBPerMember*size)
	return int(hollowAgents + realAgents + float64(p.DiscoveryInstances)*discoveryMB)
}

// totalMemoryMB returns the size of this machine's memory (proc(5), meminfo).
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
