package main

import (
	"errors"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/membership"
)

// status is the status of an agent that sees one member b as a process.
func status(self, process, digest string) *membership.Status {
	member := membership.Member{Name: "b", Process: process, State: membership.Alive}
	snapshot := &membership.Snapshot{Self: self, Digest: digest, Members: []membership.Member{member}}
	return &membership.Status{Snapshot: snapshot}
}

func TestShow(t *testing.T) {
	for _, test := range []struct {
		name     string
		answers  []answer
		want     disagreementError // its zero value: no error
		contains string
	}{
		{
			name:    "agreement",
			answers: []answer{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Status: status("b", "p1", "d")}},
		},
		{
			name:     "another process",
			answers:  []answer{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Status: status("b", "p2", "e")}},
			want:     disagreementError{digests: 2, differing: 1, agents: 2},
			contains: "differs: b  p1 alive at 1: [a]  p2 alive at 1: [b]\n",
		},
		{
			name:     "a silent agent",
			answers:  []answer{{Addr: "1", Status: status("a", "p1", "d")}, {Addr: "2", Error: "connection refused"}},
			want:     disagreementError{digests: 1, silent: 1, agents: 2},
			contains: "connection refused",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			err := show(&out, test.answers)
			var disagreement *disagreementError
			if !errors.As(err, &disagreement) {
				disagreement = new(disagreementError)
			}
			if *disagreement != test.want {
				t.Errorf("error %+v, want %+v", *disagreement, test.want)
			}
			if !strings.Contains(out.String(), test.contains) {
				t.Errorf("printed without %q:\n%s", test.contains, &out)
			}
		})
	}
}
