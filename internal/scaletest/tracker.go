package scaletest

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernbeam.example/fernbeam/internal/capacity"
)

// allowed is how long a change may take to be in force at an agent before it counts as absent there.
const inForceTimeout = 20 * time.Second

// The kinds of changes, by which a host tells them and a run records them.
const kindList, kindSettings = "list", "settings"

// trackers are the trackers of both kinds of changes.
type trackers map[string]*tracker

func newTrackers() trackers {
	t := trackers{kindList: newTracker(), kindSettings: newTracker()}
	t[kindSettings].serviceOf = map[string]string{}
	return t
}

// each does something with all of them.
func (ts trackers) forEach(do func(*tracker)) {
	for _, t := range ts {
		do(t)
	}
}

// tracker holds what was acknowledged of one kind and what came into force where. A version may be passed
// over: a change is in force at an agent once that has the change's version or a later one.
type tracker struct {
	mu           sync.Mutex
	changes      []acknowledgedChange
	incarnations []*incarnation
	current      map[string]*incarnation   // the lives that go on
	pending      map[string]versionInForce // the last word of agents of which it is not known yet that they run
	serviceOf    map[string]string         // each agent's service, where changes are of one; made before agents run
}

// change is one that was acknowledged.
type acknowledgedChange struct {
	service        string // whose agents it is for; "": all agents'
	version        uint64
	acknowledgedAt time.Time
}

// life is one start of an agent up to its end.
type incarnation struct {
	agent      string
	start, end time.Time        // end is zero while it goes on
	versions   []versionInForce // in their order
	// blind tells that some of its tellings were left out: that a change is not among them says nothing.
	incomplete bool
}

type versionInForce struct {
	version uint64
	at      time.Time
}

func newTracker() *tracker {
	return &tracker{current: map[string]*incarnation{}, pending: map[string]versionInForce{}}
}

// begin notes that an agent runs.
func (t *tracker) started(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &incarnation{agent: agent, start: time.Now()}
	if f, ok := t.pending[agent]; ok {
		l.versions = []versionInForce{f}
		delete(t.pending, agent)
	}
	t.current[agent] = l
	t.incarnations = append(t.incarnations, l)
}

// end notes that an agent ends, and counts from now on no more.
func (t *tracker) stopping(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.current[agent]; l != nil {
		l.end = time.Now()
		delete(t.current, agent)
	}
}

// gone notes that an agent has ended, and that all it said is told.
func (t *tracker) ended(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, agent)
}

// force notes that a version is in force at an agent.
func (t *tracker) inForce(agent string, version uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.current[agent]
	if l == nil {
		t.pending[agent] = versionInForce{version, at}
		return
	}
	if len(l.versions) > 0 && version <= l.versions[len(l.versions)-1].version {
		return
	}
	l.versions = append(l.versions, versionInForce{version, at})
}

// blinded notes that an agent left some of its tellings out.
func (t *tracker) markIncomplete(agent string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.current[agent]; l != nil {
		l.incomplete = true
	}
}

// changed notes an acknowledged change for all agents.
func (t *tracker) acknowledged(version uint64, acked time.Time) {
	t.acknowledgedFor("", version, acked)
}

// changedOf notes an acknowledged change for a service's agents.
func (t *tracker) acknowledgedFor(service string, version uint64, acked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, acknowledgedChange{service, version, acked})
}

// count is how many changes were acknowledged.
func (t *tracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.changes)
}

// last is the newest acknowledged version that is for an agent.
func (t *tracker) latestVersion(agent string) (v uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.changes {
		if c.service == t.serviceOf[agent] {
			v = max(v, c.version)
		}
	}
	return v
}

// day forgets all but the agents that run and what is in force at them.
func (t *tracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes, t.incarnations = nil, nil
	for _, l := range t.current {
		l.versions = l.versions[max(0, len(l.versions)-1):]
		l.incomplete = false
		t.incarnations = append(t.incarnations, l)
	}
}

// times are the times from each change's acknowledgement until it was in force, over all agents
// that it was for and that were there then, or one of those and gone before its time was up; missing is how many pairs
// of change and agent can't be told, as the agent left lines out.
func (t *tracker) latencies() (out capacity.Latencies, missing int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	now := time.Now()
	for _, l := range t.incarnations {
		for _, c := range t.changes {
			if c.service != t.serviceOf[l.agent] || l.start.After(c.acknowledgedAt) || !l.end.IsZero() && l.end.Before(c.acknowledgedAt) {
				continue
			}
			at, ok := l.inForceAt(c.version)
			took := max(0, at.Sub(c.acknowledgedAt))
			switch {
			case l.incomplete:
				missing++
			case ok && took <= inForceTimeout:
				if err := h.RecordValue(max(1, took.Microseconds())); err != nil {
					return out, missing, fmt.Errorf("in force after %v: %w", took, err)
				}
			case !l.end.IsZero() && l.end.Sub(c.acknowledgedAt) < inForceTimeout || now.Sub(c.acknowledgedAt) < inForceTimeout:
				// It was gone, or the run is over, before the time was up.
			default:
				out.NeverInForce++
			}
		}
	}
	out.Count = h.TotalCount()
	if out.Count == 0 {
		return out, missing, nil
	}
	out.P50, out.P99, out.Max = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	out.Histogram = string(text)
	return out, missing, err
}

// reached is when a version or a later one came into force.
func (l *incarnation) inForceAt(version uint64) (time.Time, bool) {
	for _, f := range l.versions {
		if f.version >= version {
			return f.at, true
		}
	}
	return time.Time{}, false
}
