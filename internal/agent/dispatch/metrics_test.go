package dispatch

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// The log line contains all counters under their documented keys and in a fixed order.
func TestMetricsStringHasAllKeysInOrder(t *testing.T) {
	metrics := Metrics{
		Requests:         1,
		Served:           2,
		ServedLate:       3,
		Rejected:         4,
		Failed:           5,
		ClientsGone:      6,
		Invalid:          7,
		Backstops:        8,
		Violations:       9,
		Aborted:          10,
		Attempts:         map[balancer.Status]int{balancer.StatusOK: 11},
		HealthChecks:     map[balancer.Status]int{balancer.StatusTimeout: 12},
		Lists:            13,
		Endpoints:        14,
		ListFailures:     15,
		Settings:         16,
		SettingsRejected: 17,
		AcceptFailures:   18,
		Unlogged:         19,
		ListIn:           20,
		ListOut:          21,
		ListCalls:        22,
		RepeatedIDs:      23,
	}
	const want = "{requests:1 served:2 servedLate:3 rejected:4 failed:5 clientsGone:6 invalid:7 backstops:8 violations:9" +
		" aborted:10 attempts:map[100:11] healthChecks:map[303:12] lists:13 endpoints:14 listFailures:15" +
		" settings:16 settingsRejected:17 acceptFailures:18 unlogged:19 listIn:20 listOut:21 listCalls:22" +
		" repeatedIDs:23}"
	if got := metrics.String(); got != want {
		t.Errorf("metrics\n%s\nwant\n%s", got, want)
	}
}
