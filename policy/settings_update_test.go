package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/settingstest"
)

const (
	// replayStart, replayMs and replayIntervalMs are the start and the duration of a replay, and the time
	// between two of its requests, in milliseconds.
	replayStart, replayMs, replayIntervalMs = 1e6, 4000.0, 7.0
	// replayServers is the number of servers of a replay.
	replayServers = 6
)

// constantSource is a random source whose values do not depend on how many were drawn before.
type constantSource struct{}

func (constantSource) Uint64() uint64 { return 3 << 61 }

// replayEvent is an event that is due at a time.
type replayEvent struct {
	at    float64
	event balancer.Event
}

// replay passes a fixed sequence of requests to a Balancer, answers its actions by fixed rules, and records
// all actions.
type replay struct {
	balancer *Balancer
	now      float64
	due      []replayEvent
	actions  []string
}

// newReplay starts a Balancer with the settings and its endpoint list.
func newReplay(t *testing.T, settings balancer.Settings) *replay {
	t.Helper()
	r := &replay{balancer: newBalancer(rand.New(constantSource{})), now: replayStart}
	if err := r.balancer.UpdateSettings(settings); err != nil {
		t.Fatal(err)
	}
	r.perform(r.balancer.Start(r.now, nil))
	r.handle(&balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListFull,
		Endpoints:  replayList(),
	})
	return r
}

// replayList returns servers in several zones and cells, one of them in slow start.
func replayList() []balancer.Endpoint {
	var endpoints []balancer.Endpoint
	for i := range replayServers {
		entry := balancer.Endpoint{
			Server: balancer.Addr{127, 0, 0, 1, 0, byte(i + 1)},
			Zone:   i % 3,
			Cell:   i % 2,
			State:  balancer.Ready,
			Weight: 1,
		}
		if i == 0 {
			entry.StartedMs = replayStart - 1000
		}
		endpoints = append(endpoints, entry)
	}
	return endpoints
}

// run sends the requests and returns all actions since the list.
func (r *replay) run(classes int) []string {
	r.actions = nil
	sent := 0
	for next := r.now; r.now < replayStart+replayMs; next += replayIntervalMs {
		r.handleUntil(next)
		sent++
		r.handle(&balancer.Event{
			Kind:        balancer.EventRequest,
			Request:     balancer.RequestID(sent),
			Class:       sent % classes,
			Key:         uint64(sent % 50),
			RemainingMs: float64(400 + sent%5*100),
			Retry:       sent%11 == 0,
		})
	}
	return r.actions
}

// handleUntil handles the events that are due by a time.
func (r *replay) handleUntil(until float64) {
	for len(r.due) > 0 && r.due[0].at <= until {
		next := r.due[0]
		r.due = r.due[1:]
		r.now = next.at
		r.handle(&next.event)
	}
	r.now = until
}

func (r *replay) handle(event *balancer.Event) {
	r.perform(r.balancer.Handle(r.now, event, nil))
}

// perform records actions and schedules their results.
func (r *replay) perform(actions []balancer.Action) {
	for _, action := range slices.Clone(actions) {
		r.actions = append(r.actions, fmt.Sprintf("%v %+v", r.now, action))
		switch action.Kind {
		case balancer.ActionForward:
			r.endAttempt(&action)
		case balancer.ActionSetTimer:
			r.schedule(action.Ms, balancer.Event{Kind: balancer.EventTimer, Token: action.Token})
		case balancer.ActionWatchList:
			r.schedule(1000, balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
		case balancer.ActionHealthCheck:
			r.schedule(10, balancer.Event{
				Kind:      balancer.EventHealthCheckDone,
				Server:    action.Server,
				Status:    balancer.StatusOK,
				LatencyMs: 10,
			})
		case balancer.ActionFetchList, balancer.ActionCancelAttempt, balancer.ActionReject,
			balancer.ActionFail, balancer.ActionCloseIdle, balancer.ActionLog: // have no result here
		}
	}
}

// endAttempt schedules the end of an attempt. Its status and duration depend on the request and the server.
func (r *replay) endAttempt(action *balancer.Action) {
	done := balancer.Event{
		Kind:      balancer.EventAttemptDone,
		Request:   action.Request,
		Attempt:   action.Attempt,
		Server:    action.Server,
		Status:    balancer.StatusOK,
		LatencyMs: float64(30 + int(action.Request)%7*30 + int(action.Server[5])*5),
	}
	switch (int(action.Request) + action.Attempt) % 13 {
	case 3, 4:
		done.Status = balancer.StatusError
	case 8:
		done.Status = balancer.StatusOverloaded
	case 11:
		done.Status = balancer.StatusTimeout
		done.LatencyMs = action.Ms
	}
	r.schedule(done.LatencyMs, done)
}

// schedule adds an event that is due after a delay.
func (r *replay) schedule(delayMs float64, event balancer.Event) {
	added := replayEvent{at: r.now + delayMs, event: event}
	after := func(other replayEvent) bool { return other.at > added.at }
	i := slices.IndexFunc(r.due, after)
	if i < 0 {
		i = len(r.due)
	}
	r.due = slices.Insert(r.due, i, added)
}

// TestUpdatedSettingsDecideAsInitialOnes checks for each key that a Balancer which started with other
// settings, and got these before its first request, decides as one that started with them. Guards against
// values that are derived from the settings once, at the start.
func TestUpdatedSettingsDecideAsInitialOnes(t *testing.T) {
	for _, variant := range settingstest.Variants(t) {
		base := parseSettings(t, settingstest.Base())
		changed := parseSettings(t, variant.Text)
		for _, update := range []struct {
			name     string
			from, to balancer.Settings
		}{{variant.Key, base, changed}, {variant.Key + ", back", changed, base}} {
			t.Run(update.name, func(t *testing.T) {
				updated := newReplay(t, update.from)
				updated.due = nil // a call that the earlier mode has scheduled finds the watch of the new one
				if err := updated.balancer.UpdateSettings(update.to); err != nil {
					t.Fatal(err)
				}
				if update.from.DiscoveryMode != update.to.DiscoveryMode {
					updated.perform(updated.balancer.Start(updated.now, nil))
				}
				initial := newReplay(t, update.to)
				got, want := updated.run(len(update.to.Classes)), initial.run(len(update.to.Classes))
				for i := range min(len(got), len(want)) {
					if got[i] != want[i] {
						t.Fatalf("action %d is %s, with the settings from the start %s", i, got[i], want[i])
					}
				}
				if len(got) != len(want) {
					t.Errorf("%d actions, with the settings from the start %d", len(got), len(want))
				}
			})
		}
	}
}

func parseSettings(t *testing.T, text string) balancer.Settings {
	t.Helper()
	settings, err := balancer.ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}
