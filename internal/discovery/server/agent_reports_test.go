package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestReportRegistryIsBounded: the number of reports is bounded by evicting the oldest, and their age too.
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
		t.Errorf("%d agents remembered, want the last %d", len(got), maxReports)
	}
	if got := registry.forService("a", now.Add(reportRetention+time.Minute)); len(got) != 0 {
		t.Errorf("%d agents remembered after %v", len(got), reportRetention)
	}
	reason := oneLine("no\nroom"+strings.Repeat("é", 200), maxReasonBytes)
	if len(reason) > maxReasonBytes || !strings.HasPrefix(reason, "no room") {
		t.Errorf("the reason is %q", reason)
	}
}
