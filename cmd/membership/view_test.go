package main

import (
	"errors"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/membership"
)

// status returns the status of an agent that sees one member, b, with the given process.
func status(self, process, digest string) *membership.Status {
	member := membership.Member{Name: "b", Process: process, State: membership.Alive}
	snapshot := &membership.Snapshot{Self: self, Digest: digest, Members: []membership.Member{member}}
	return &membership.Status{Snapshot: snapshot}
}

// TestShow checks the error and the printed differences for agents that agree, that disagree or that do not respond.
func TestShow(t *testing.T) {
	for _, test := range []struct {
		name     string
		statuses []agentStatus
		want     disagreementError // zero value for no error
		contains string
	}{
		{
			name:     "agreement",
			statuses: []agentStatus{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Status: status("b", "p1", "d")}},
		},
		{
			name:     "member with different processes",
			statuses: []agentStatus{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Status: status("b", "p2", "e")}},
			want:     disagreementError{digests: 2, differing: 1, agents: 2},
			contains: "differs: b  p1 alive at 1: [a]  p2 alive at 1: [b]\n",
		},
		{
			name:     "unresponsive agent",
			statuses: []agentStatus{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Error: "connection refused"}},
			want:     disagreementError{digests: 1, unresponsive: 1, agents: 2},
			contains: "connection refused",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := show(&out, test.statuses)
			var disagreement *disagreementError
			if !errors.As(err, &disagreement) {
				disagreement = new(disagreementError)
			}
			if *disagreement != test.want {
				t.Errorf("show returned the error %+v, want %+v", *disagreement, test.want)
			}
			if !strings.Contains(out.String(), test.contains) {
				t.Errorf("output without %q:\n%s", test.contains, &out)
			}
		})
	}
}
