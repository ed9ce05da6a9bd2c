package membershiptest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// statusTimeout bounds a status call. Calls are slow because the cluster's processes fill the machine.
	statusTimeout = 3 * time.Second
	// The time between two rounds of AwaitConvergence is at least minCollectInterval. It grows with the number of agents
	// by collectIntervalPerAgent, because a round calls all of them and must not be their main load.
	minCollectInterval      = 150 * time.Millisecond
	collectIntervalPerAgent = 2 * time.Millisecond
	// maxDescribed is the maximum number of disagreeing processes that an error describes.
	maxDescribed = 3
)

// statuses has the statuses of processes by process name. A process that did not respond has none.
type statuses map[string]*membership.Status

// Status fetches the status of a process. It leaves out the members and includes the changes after the snapshot with
// the number since.
func (h *Harness) Status(ctx context.Context, name string, since uint64) (*membership.Status, error) {
	return h.fetchStatus(ctx, name, fmt.Sprintf("members=none&since=%d", since))
}

// fetchStatus fetches the status of a process with the given query.
func (h *Harness) fetchStatus(ctx context.Context, name, query string) (*membership.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := membership.FetchStatus(ctx, h.address(name, adminPort), query)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return status, nil
}

// collectChanges adds the changes that processes saw since the last call to their records, and returns their statuses.
func (h *Harness) collectChanges(ctx context.Context, names []string) statuses {
	var mu sync.Mutex
	collected := statuses{}
	_ = processtest.Each(names, func(name string) error { // a process that does not respond is not an error here
		if status := h.collectFrom(ctx, name); status != nil {
			mu.Lock()
			defer mu.Unlock()
			collected[name] = status
		}
		return nil
	})
	return collected
}

// collectFrom adds the new changes of a process to its record and returns its status, or nil if it does not respond.
func (h *Harness) collectFrom(ctx context.Context, name string) *membership.Status {
	status, err := h.Status(ctx, name, h.lastCollected(name))
	if err != nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if record := h.records[status.Process]; record != nil {
		record.add(status.Changes)
	}
	return status
}

// lastCollected returns the number of the last change collected from a process's current incarnation, or 0 if there is
// none.
func (h *Harness) lastCollected(name string) uint64 {
	key := incarnationKey{processName: name, number: len(h.processes.Incarnations(name)) - 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	if record := h.records[h.identities[key].process]; record != nil {
		return record.last()
	}
	return 0
}

// AwaitConvergence waits until each running process that takes part in the membership sees exactly the others that do.
// It returns how long this took, counted from since until the last of them reached its final snapshot.
func (h *Harness) AwaitConvergence(ctx context.Context, since time.Time, within time.Duration) (time.Duration, error) {
	var last statuses
	var disagreement error
	err := processtest.Await(within, "agreement of all processes", func() bool {
		time.Sleep(h.collectInterval())
		running := slices.DeleteFunc(h.Running(), h.isWithoutMembership)
		last = h.collectChanges(ctx, running)
		disagreement = checkAgreement(last, running)
		return disagreement == nil
	})
	if err != nil {
		return 0, fmt.Errorf("%w: %w%s", err, disagreement, h.describeDifferences(ctx, last))
	}
	return max(0, h.lastConvergence(last).Sub(since)), nil
}

// collectInterval returns the time between two rounds of AwaitConvergence.
func (h *Harness) collectInterval() time.Duration {
	return max(minCollectInterval, time.Duration(h.cfg.Agents)*collectIntervalPerAgent)
}

// lastConvergence returns when the last of the processes reached its current digest.
func (h *Harness) lastConvergence(collected statuses) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for _, status := range collected {
		if at := h.records[status.Process].convergedAt(status.Digest); at.After(last) {
			last = at
		}
	}
	return last
}

// presentMembers returns those of the named processes that take part according to their own statuses.
func presentMembers(collected statuses, names []string) []membership.Member {
	var present []membership.Member
	for _, name := range names {
		if status := collected[name]; status != nil && status.Member {
			present = append(present, membership.Member{
				Name:    status.Self,
				Process: status.Process,
				State:   membership.Alive,
			})
		}
	}
	return present
}

// agrees reports whether a process sees exactly the members with the given digest, and suspects none of them.
func agrees(status *membership.Status, digest string) bool {
	return status.Digest == digest && status.Suspects == 0
}

// disagreementError reports that a process does not respond, or that processes do not see exactly the present members.
type disagreementError struct {
	unresponsive         string // a process that does not respond; empty if all do
	disagreeing, present int
	example              string // description of one disagreeing process
}

func (e *disagreementError) Error() string {
	if e.unresponsive != "" {
		return e.unresponsive + " does not respond"
	}
	return fmt.Sprintf("%d of %d processes do not see exactly the present members, for example: %s",
		e.disagreeing, e.present, e.example)
}

// checkAgreement checks that all running processes respond, and that each one that takes part sees exactly the others
// that do.
func checkAgreement(collected statuses, running []string) error {
	for _, name := range running {
		if collected[name] == nil {
			return &disagreementError{unresponsive: name}
		}
	}
	present := presentMembers(collected, running)
	digest := membership.DigestOf(present)
	disagreement := &disagreementError{present: len(present)}
	for _, name := range running {
		status := collected[name]
		if !status.Member || agrees(status, digest) {
			continue
		}
		if disagreement.disagreeing == 0 {
			disagreement.example = fmt.Sprintf("%s sees %d, suspects %d", name, status.Present, status.Suspects)
		}
		disagreement.disagreeing++
	}
	if disagreement.disagreeing == 0 {
		return nil
	}
	return disagreement
}

// describeDifferences describes, for up to maxDescribed processes that do not see exactly the present members, their
// traffic counts and the members they see differently.
func (h *Harness) describeDifferences(ctx context.Context, collected statuses) string {
	names := slices.Sorted(maps.Keys(collected))
	present := presentMembers(collected, names)
	digest := membership.DigestOf(present)
	var text strings.Builder
	described := 0
	for _, name := range names {
		status := collected[name]
		if !status.Member || agrees(status, digest) {
			continue
		}
		if described++; described > maxDescribed {
			break
		}
		full, err := h.fetchStatus(ctx, name, fmt.Sprintf("since=%d", uint64(noChanges)))
		if err != nil {
			fmt.Fprintf(&text, "\n%v", err)
			continue
		}
		fmt.Fprintf(&text, "\n%s, unchanged for %d ms, counts %v:", name, full.UnchangedMs, full.Traffic)
		for _, member := range present {
			h.describeDifference(&text, full, member)
		}
	}
	return text.String()
}

// describeDifference describes how a process sees a present member, with the changes that led to it, unless the process
// sees it as alive.
func (h *Harness) describeDifference(text *strings.Builder, status *membership.Status, present membership.Member) {
	seen, ok := status.Snapshot.Member(present.Name)
	if ok && seen.Process == present.Process && seen.State == membership.Alive {
		return
	}
	fmt.Fprintf(text, " %s/%s seen as %q %s incarnation %d after", present.Name, present.Process,
		seen.State, seen.Process, seen.Incarnation)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range h.records[status.Process].Changes {
		if change.Name == present.Name {
			fmt.Fprintf(text, " %d: %s %q %d,", change.Number, change.Process, change.To, change.Incarnation)
		}
	}
}
