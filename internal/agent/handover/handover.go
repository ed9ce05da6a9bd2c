// Package handover passes what an agent knows from one process to the next, as during an upgrade. The running process
// keeps its state in a file; its successor reads the file before it serves. A file that is damaged, too large, of
// another format or of another agent is not used.
package handover

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// MaxListAge is how old the list of a process may be that has ended: the longest time since discovery last answered it.
// The list of a process that is still running may have any age.
const MaxListAge = 5 * time.Minute

// Reasons why a state is not used.
var (
	// ErrFormat means that a file has no state, or one in a format that this version doesn't know.
	ErrFormat = errors.New("unknown format")
	// ErrDamaged means that a file is incomplete or was changed after it was written.
	ErrDamaged = errors.New("damaged")
	// ErrForeign means that a state was saved by another agent.
	ErrForeign = errors.New("of another agent")
	// ErrTooLarge means that a state has more bytes than a file may have.
	ErrTooLarge = errors.New("too large")
	// ErrOutdated means that a list is older than MaxListAge.
	ErrOutdated = errors.New("outdated")
	// ErrInvalid means that a state is complete but contradicts itself.
	ErrInvalid = errors.New("invalid")
)

// Identity tells agents apart. It is the same for all processes of an agent.
type Identity struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // the address for clients
}

// State is what a process hands over.
type State struct {
	Agent Identity `json:"agent"`
	// Discovery is the address of discovery that the process uses.
	Discovery DiscoveryChoice `json:"discovery"`
	// FileSum is the checksum of the configuration file that the process has read.
	FileSum uint32 `json:"file_sum"`
	// List is the endpoint list in force. It is nil if discovery has never answered: the configuration file may then have
	// a newer one.
	List *List `json:"list,omitempty"`
}

// Origin is where an endpoint list is from.
type Origin struct {
	// Sources are the addresses of the discovery service. The version of a list has a meaning only there.
	Sources []string `json:"sources"`
	// ConfirmedMs is when that service last answered, as Unix time in milliseconds.
	ConfirmedMs int64 `json:"confirmed_ms"`
}

// IsFrom reports whether the discovery service with the given addresses is the origin: they have an address in common.
func (o *Origin) IsFrom(addrs []string) bool {
	return slices.ContainsFunc(o.Sources, func(source string) bool { return slices.Contains(addrs, source) })
}

// List is a full endpoint list with its origin.
type List struct {
	Origin
	Version uint64              `json:"version"`
	Servers []endpoint.Endpoint `json:"servers"`
}

// CheckAge returns ErrOutdated if the time at which discovery last answered is further than MaxListAge from now. It may
// be in the future, as the wall clock may have been set back.
func (o *Origin) CheckAge(now time.Time) error {
	age := now.Sub(time.UnixMilli(o.ConfirmedMs))
	if age.Abs() > MaxListAge {
		return fmt.Errorf("list confirmed %v ago: %w", age.Round(time.Millisecond), ErrOutdated)
	}
	return nil
}

// check returns an error if the state is not a state of the given agent.
func (s *State) check(agent Identity) error {
	if s.Agent != agent {
		return fmt.Errorf("saved by %.40q at %.40q: %w", s.Agent.Name, s.Agent.Listen, ErrForeign)
	}
	if s.List == nil {
		return nil
	}
	return s.List.check()
}

// check returns an error if the list can't be from a discovery service.
func (l *List) check() error {
	if len(l.Sources) == 0 {
		return fmt.Errorf("list without a source: %w", ErrInvalid)
	}
	known := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		id := l.Servers[i].ID
		if id == "" || known[id] {
			return fmt.Errorf("list with the server %.40q twice or without an id: %w", id, ErrInvalid)
		}
		known[id] = true
	}
	return nil
}
