package scaletest

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernbeam.example/fernbeam/internal/capacity"
)

// inForceTimeout is how long a change may take to come into force at an agent. After that it counts as never in force
// there.
const inForceTimeout = 20 * time.Second

// The kinds of changes, as they are named in host events and in records of runs.
const (
	kindList     = capacity.ChangeList
	kindSettings = capacity.ChangeSettings
)

// changeKinds lists all kinds of changes.
var changeKinds = []capacity.ChangeKind{kindList, kindSettings}

// trackers has a tracker for each kind of change.
type trackers map[capacity.ChangeKind]*tracker

// newTrackers returns a tracker for each kind of change.
func newTrackers() trackers {
	ts := trackers{kindList: newTracker(), kindSettings: newTracker()}
	ts[kindSettings].serviceOf = map[string]string{}
	return ts
}

// forEach calls do for each tracker.
func (ts trackers) forEach(do func(*tracker)) {
	for _, t := range ts {
		do(t)
	}
}

// tracker records when changes of one kind were acknowledged, and when versions came into force at each agent. An agent
// may skip versions: a change is in force once the agent has its version or a later one.
type tracker struct {
	// serviceOf maps agents to their services if each change belongs to a service. It is set before agents start.
	serviceOf map[string]string

	mu           sync.Mutex
	changes      []acknowledgedChange
	incarnations []*incarnation
	current      map[string]*incarnation   // by agent; only those that have not ended
	pending      map[string]versionInForce // last versions of agents that are not recorded as started yet
}

// acknowledgedChange is a change that discovery has acknowledged.
type acknowledgedChange struct {
	service        string // the service whose agents get the change; empty: all agents get it
	version        uint64
	acknowledgedAt time.Time
}

// incarnation is an agent from one of its starts to its end.
type incarnation struct {
	agent      string
	start, end time.Time        // end is zero until it ends
	versions   []versionInForce // in ascending order
	// incomplete is set if the agent dropped log lines. A version that is not in versions may then have been in force.
	incomplete bool
}

// versionInForce is a version and the time when it came into force at an agent.
type versionInForce struct {
	version uint64
	at      time.Time
}

// newTracker returns a tracker without any agents or changes.
func newTracker() *tracker {
	return &tracker{current: map[string]*incarnation{}, pending: map[string]versionInForce{}}
}

// started records that an agent has started.
func (t *tracker) started(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := &incarnation{agent: agent, start: time.Now()}
	if v, ok := t.pending[agent]; ok {
		i.versions = []versionInForce{v}
		delete(t.pending, agent)
	}
	t.current[agent] = i
	t.incarnations = append(t.incarnations, i)
}

// stopping records that an agent is about to be ended. Versions that come into force at it afterwards are not counted.
func (t *tracker) stopping(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.current[agent]; i != nil {
		i.end = time.Now()
		delete(t.current, agent)
	}
}

// ended records that an agent has ended and that all of its reports have been recorded.
func (t *tracker) ended(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, agent)
}

// inForce records that a version is in force at an agent.
func (t *tracker) inForce(agent string, version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.current[agent]
	if i == nil {
		t.pending[agent] = versionInForce{version, at}
		return
	}
	if n := len(i.versions); n > 0 && version <= i.versions[n-1].version {
		return
	}
	i.versions = append(i.versions, versionInForce{version, at})
}

// markIncomplete records that an agent dropped log lines.
func (t *tracker) markIncomplete(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.current[agent]; i != nil {
		i.incomplete = true
	}
}

// acknowledged records an acknowledged change that is for all agents.
func (t *tracker) acknowledged(version uint64, at time.Time) { t.acknowledgedFor("", version, at) }

// acknowledgedFor records an acknowledged change that is for the agents of a service.
func (t *tracker) acknowledgedFor(service string, version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, acknowledgedChange{service, version, at})
}

// count returns the number of acknowledged changes.
func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.changes)
}

// latestVersion returns the newest acknowledged version among the changes that are for an agent, or 0.
func (t *tracker) latestVersion(agent string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := uint64(0)
	for _, c := range t.changes {
		if c.service == t.serviceOf[agent] {
			latest = max(latest, c.version)
		}
	}
	return latest
}

// reset discards everything except the running agents and the versions in force at them.
func (t *tracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = nil
	t.incarnations = nil
	for _, i := range t.current {
		i.versions = i.versions[max(0, len(i.versions)-1):]
		i.incomplete = false
		t.incarnations = append(t.incarnations, i)
	}
}

// measuredLatencies are latencies, with the number of those that could not be measured.
type measuredLatencies struct {
	capacity.Latencies
	unknown int // pairs of a change and an agent without a result, because the agent dropped log lines
}

// latencies returns the times from the acknowledgement of each change until the change was in force at an agent. It
// includes all agents that the change was for and that ran when it was acknowledged, except for an agent that ended
// within inForceTimeout without having the change in force.
func (t *tracker) latencies() (measuredLatencies, error) {
	var result measuredLatencies
	t.mu.Lock()
	defer t.mu.Unlock()
	histogram := hdrhistogram.New(1, inForceTimeout.Microseconds(), histogramDigits)
	now := time.Now()
	for _, i := range t.incarnations {
		for _, c := range t.changes {
			if c.service != t.serviceOf[i.agent] || !i.ranAt(c.acknowledgedAt) {
				continue
			}
			at, ok := i.inForceAt(c.version)
			latency := max(0, at.Sub(c.acknowledgedAt))
			switch {
			case i.incomplete:
				result.unknown++
			case ok && latency <= inForceTimeout:
				if err := histogram.RecordValue(max(1, latency.Microseconds())); err != nil {
					return result, fmt.Errorf("in force after %v: %w", latency, err)
				}
			case i.observedFor(c.acknowledgedAt, now):
				result.NeverInForce++
			}
		}
	}
	err := summarizeLatencies(&result.Latencies, histogram)
	return result, err
}

// summarizeLatencies fills in latencies, which are in ms, from a histogram of µs.
func summarizeLatencies(l *capacity.Latencies, histogram *hdrhistogram.Histogram) error {
	l.Count = histogram.TotalCount()
	if l.Count == 0 {
		return nil
	}
	const usPerMs = 1000
	l.P50 = float64(histogram.ValueAtQuantile(percentile50)) / usPerMs
	l.P99 = float64(histogram.ValueAtQuantile(percentile99)) / usPerMs
	l.Max = float64(histogram.Max()) / usPerMs
	text, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	l.Histogram = string(text)
	return err
}

// ranAt reports whether the agent was running at a time.
func (i *incarnation) ranAt(at time.Time) bool {
	return !i.start.After(at) && (i.end.IsZero() || !i.end.Before(at))
}

// observedFor reports whether the agent was running for the whole inForceTimeout after the time since.
func (i *incarnation) observedFor(since, now time.Time) bool {
	if !i.end.IsZero() && i.end.Sub(since) < inForceTimeout {
		return false
	}
	return now.Sub(since) >= inForceTimeout
}

// inForceAt returns the time when a version or a later one came into force, and whether one did.
func (i *incarnation) inForceAt(version uint64) (time.Time, bool) {
	for _, v := range i.versions {
		if v.version >= version {
			return v.at, true
		}
	}
	return time.Time{}, false
}
