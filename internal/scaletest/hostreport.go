package scaletest

import (
	"fmt"
	"os"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/agent"
	"fernbeam.example/fernbeam/internal/membership"
)

const bytesPerMB = 1 << 20

// writeReport writes an event with the resource usage of the process and the counters of its agents.
func (h *hostServer) writeReport() error {
	report, err := h.report()
	if err != nil {
		return err
	}
	h.events.write(HostEvent{Report: report})
	return nil
}

// report returns a report. Its processor time excludes the time in which reports were made, because most of that is
// spent on garbage collection. What the agents use in that time is excluded too, which is little if reports are rare.
func (h *hostServer) report() (*HostReport, error) {
	before, err := processorTime()
	if err != nil {
		return nil, err
	}
	runtime.GC()
	r := &HostReport{Goroutines: runtime.NumGoroutine(), Agents: h.agentReports()}
	heap := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(heap)
	r.HeapMB = float64(heap[0].Value.Uint64()) / bytesPerMB
	r.AllocBytes = heap[1].Value.Uint64()
	if r.ResidentMB, err = residentMB(); err != nil {
		return nil, err
	}
	if r.Descriptors, err = openDescriptors(); err != nil {
		return nil, err
	}
	after, err := processorTime()
	if err != nil {
		return nil, err
	}
	h.reportTime += after - before
	r.CPUSeconds = (after - h.reportTime).Seconds()
	r.AtUs = time.Now().UnixMicro()
	return r, nil
}

// agentReports returns the reports of the running agents by name.
func (h *hostServer) agentReports() map[string]AgentReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	reports := map[string]AgentReport{}
	for name, a := range h.agents {
		reports[name] = agentReport(a.agent.Status())
	}
	return reports
}

// agentReport returns the report of an agent with a status.
func agentReport(s agent.Status) AgentReport {
	r := AgentReport{
		ListIn:          s.ListIn,
		ListOut:         s.ListOut,
		ListCalls:       s.ListCalls,
		Servers:         s.Servers,
		ListVersion:     s.ListVersion,
		SettingsVersion: s.SettingsVersion,
	}
	if s.Membership == nil {
		return r
	}
	traffic := s.Membership.Traffic
	r.MembershipIn = membershipBytesIn(traffic)
	r.MembershipOut = membershipBytesOut(traffic)
	r.MembershipMessagesIn =
		traffic[membership.PacketsIn] + traffic[membership.Streams] - traffic[membership.StreamsOut]
	r.MembershipMessagesOut = traffic[membership.PacketsOut] + traffic[membership.StreamsOut]
	r.Members = len(s.Membership.Members)
	r.Digest = s.Membership.Digest
	r.Settled = s.Membership.Settled
	return r
}

// membershipBytesIn returns the number of bytes that an agent's membership received.
func membershipBytesIn(traffic membership.Traffic) uint64 {
	return traffic[membership.BytesIn] + traffic[membership.StreamBytesIn]
}

// membershipBytesOut returns the number of bytes that an agent's membership sent.
func membershipBytesOut(traffic membership.Traffic) uint64 {
	return traffic[membership.BytesOut] + traffic[membership.StreamBytesOut]
}

// processorTime returns the user and system time of this process.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("report: processor time: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// residentMB returns the resident memory of this process in MB (proc(5), statm).
func residentMB() (float64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, fmt.Errorf("report: resident memory: %w", err)
	}
	var sizePages, residentPages float64
	if _, err := fmt.Sscan(string(text), &sizePages, &residentPages); err != nil {
		return 0, fmt.Errorf("report: resident memory: %w", err)
	}
	return residentPages * float64(os.Getpagesize()) / bytesPerMB, nil
}

// openDescriptors returns the number of open file descriptors of this process, without the one that reads the
// directory of descriptors.
func openDescriptors() (int, error) {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0, fmt.Errorf("report: %w", err)
	}
	return len(entries) - 1, nil
}
