package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestReportRegistryIsBounded checks that the registry evicts the oldest reports when it is full, that
// reports expire, and that the reason in a report is limited to one line of maxReasonBytes.
func TestReportRegistryIsBounded(t *testing.T) {
	registry := newReportRegistry()
	now := time.Now()
	for i := range maxReports + 10 {
		report := SettingsReport{InForce: uint64(i)}
		registry.record("a", fmt.Sprint("agent-", i), report, now.Add(time.Duration(i)))
	}
	got := registry.forService("a", now.Add(time.Minute))
	isEvicted := func(report AgentReport) bool { return report.InForce < 10 }
	if len(got) != maxReports || slices.ContainsFunc(got, isEvicted) {
		t.Errorf("%d reports stored, want the last %d", len(got), maxReports)
	}
	if got := registry.forService("a", now.Add(reportRetention+time.Minute)); len(got) != 0 {
		t.Errorf("%d reports returned after %v, want none", len(got), reportRetention)
	}
	reason := oneLine("no\nroom"+strings.Repeat("é", 200), maxReasonBytes)
	if len(reason) > maxReasonBytes || !strings.HasPrefix(reason, "no room") {
		t.Errorf("reason %q is too long or not on one line", reason)
	}
}
