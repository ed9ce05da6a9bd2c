package scaletest

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"fernbeam.example/fernbeam/internal/processtest"
)

// What one of each takes at the most, by docs/capacity/scale.jsonl: resident MB a hollow agent, its
// process over the agents in it, 1.7 to 2.1 at 70 agents, 2.4 to 3.8 at 220, 4.1 to 5.7 at 420; a real
// one 17.6, 27.7 and 29.6; an instance of the list service 18.1, 20.7 and 24.6.
const (
	hollowMB          = 1.5
	hollowMBPerMember = 0.01 // for each member of its fleet
	realMB            = 15.0
	realMBPerMember   = 0.06
	discoveryMB       = 40.0
	// hollowSockets are the descriptors of a hollow agent: 10.2 on all days, and 26 that its view may
	// take while it joins (fleet.Sockets); hostSockets those of its process.
	hollowDescriptors, hostDescriptors = 40, 32
	// mostProcesses is what this project allows itself on a machine.
	maxProcesses = 300
)

// Fits refuses a plan of which this machine can't hold a size: within half of its memory, what is
// free of it, 300 processes and the descriptors of a process.
func (p *Plan) CheckMachine() error {
	total, err := totalMemoryMB()
	if err != nil {
		return err
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	for _, hollow := range p.Sizes {
		if err := p.checkSize(hollow, total/2, processtest.FreeMB(), lim.Cur); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkSize(hollow, halfMB, freeMB int, files uint64) error {
	n := float64(hollow + p.Real)
	hosts := (hollow + p.AgentsPerHost - 1) / p.AgentsPerHost
	mb := int(float64(hollow)*(hollowMB+hollowMBPerMember*n) + float64(p.Real)*(realMB+realMBPerMember*n) + float64(p.DiscoveryInstances)*discoveryMB)
	processes := hosts + p.Real + p.DiscoveryInstances + 1
	sockets := uint64(min(p.AgentsPerHost, hollow)*hollowDescriptors + hostDescriptors)
	what := fmt.Sprintf("sizes: %d hollow agents in %d processes, %d real ones and %d instances of the list service", hollow, hosts, p.Real, p.DiscoveryInstances)
	switch {
	case processes > maxProcesses:
		return fmt.Errorf("%s are %d processes with the runner, and %d are allowed", what, processes, maxProcesses)
	case mb > halfMB:
		return fmt.Errorf("%s take some %d MB, and half of this machine's memory is %d MB", what, mb, halfMB)
	case mb > freeMB:
		return fmt.Errorf("%s take some %d MB, and %d MB are free", what, mb, freeMB)
	case sockets > files:
		return fmt.Errorf("%s take some %d descriptors a process, and %d are allowed", what, sockets, files)
	}
	return nil
}

// totalMB is this machine's memory in MB (proc(5), meminfo).
func totalMemoryMB() (int, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	kb := 0
	for line := range strings.Lines(string(text)) {
		fmt.Sscanf(line, "MemTotal: %d kB", &kb)
	}
	return kb >> 10, nil
}
