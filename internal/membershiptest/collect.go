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
	// statusTimeout is how long a process may take to answer: the machine is full.
	statusTimeout = 3 * time.Second
	// The time between two rounds of AwaitConvergence: minCollectInterval at least, and collectIntervalPerAgent for each
	// agent, as a round calls them all and must not be their main load.
	minCollectInterval      = 150 * time.Millisecond
	collectIntervalPerAgent = 2 * time.Millisecond
	// maxDescribed is how many disagreeing processes an error describes.
	maxDescribed = 3
)

// statuses are the answers of processes by their names; a process that did not answer has none.
type statuses map[string]*membership.Status

// Status fetches a process's status without the members, with its changes after a number.
func (h *Harness) Status(ctx context.Context, name string, since uint64) (*membership.Status, error) {
	return h.fetchStatus(ctx, name, fmt.Sprintf("members=none&since=%d", since))
}

func (h *Harness) fetchStatus(ctx context.Context, name, query string) (*membership.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := membership.FetchStatus(ctx, h.address(name, adminPort), query)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return status, nil
}

// collectChanges adds what processes saw since the last call to their records, and returns their statuses.
func (h *Harness) collectChanges(ctx context.Context, names []string) statuses {
	var mu sync.Mutex
	collected := statuses{}
	_ = processtest.Each(names, func(name string) error { // a process that does not answer is no error here
		if status := h.collectFrom(ctx, name); status != nil {
			mu.Lock()
			defer mu.Unlock()
			collected[name] = status
		}
		return nil
	})
	return collected
}

// collectFrom adds what one process saw to its record; nil: it does not answer.
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

// lastCollected is the number of the last change that was collected of a process's current incarnation; 0: none.
func (h *Harness) lastCollected(name string) uint64 {
	key := incarnationKey{processName: name, number: len(h.processes.Incarnations(name)) - 1}
	h.mu.Lock()
	defer h.mu.Unlock()
	if record := h.records[h.identities[key].process]; record != nil {
		return record.last()
	}
	return 0
}

// AwaitConvergence waits until all running processes that take part see exactly each other, and returns the time from
// since on that the last of them took to converge for good.
func (h *Harness) AwaitConvergence(ctx context.Context, since time.Time, within time.Duration) (time.Duration, error) {
	var last statuses
	var disagreement error
	err := processtest.Await(within, "all agree", func() bool {
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

// collectInterval is the time between two rounds of AwaitConvergence.
func (h *Harness) collectInterval() time.Duration {
	return max(minCollectInterval, time.Duration(h.cfg.Agents)*collectIntervalPerAgent)
}

// lastConvergence is when the last of the processes converged to its digest for good.
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

// presentMembers are those of some processes that take part, by their own answers.
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

// agrees tells whether a process sees exactly the members of a digest, and suspects none.
func agrees(status *membership.Status, digest string) bool {
	return status.Digest == digest && status.Suspects == 0
}

// disagreementError tells how processes disagree with each other or with who is present.
type disagreementError struct {
	silent               string // a process that does not answer; empty: all do
	disagreeing, present int
	example              string // one that disagrees
}

func (e *disagreementError) Error() string {
	if e.silent != "" {
		return e.silent + " does not answer"
	}
	return fmt.Sprintf("%d of %d do not see exactly the present members, such as: %s",
		e.disagreeing, e.present, e.example)
}

// checkAgreement checks that all running processes answer, and see exactly those of them that take part.
func checkAgreement(collected statuses, running []string) error {
	for _, name := range running {
		if collected[name] == nil {
			return &disagreementError{silent: name}
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

// describeDifferences says, for a few processes that disagree with who is present, which members they see differently,
// and their counts.
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

// describeDifference says how a process sees a present member, if it sees it differently, and how it came to that.
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
