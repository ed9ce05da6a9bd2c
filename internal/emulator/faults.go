package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Run has the applications ask for a time and gives what came of it, once the last request has
// ended.
func (w *Emulator) Run(length time.Duration) *Result {
	w.clients.run(length)
	return w.result()
}

// Stop ends the traffic before its time; what is open is given up.
func (w *Emulator) Stop() { w.stopOnce.Do(func() { close(w.stopped) }) }

// Nodes are the ids of the nodes that are there, in their order; of one zone, if zone is not
// below zero.
func (w *Emulator) ServerIDs(zone int) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, b := range w.servers {
		if zone < 0 || b.zone == zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Emulator) findServer(id string) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[id]
}

// direct is the address of the node that application number i calls itself.
func (w *Emulator) directAddress(i int) string {
	ids := w.ServerIDs(-1)
	return w.findServer(ids[i%len(ids)]).addresses[w.config.Agents[i].Zone]
}

// remove ends a node's process; the list says so where it is told.
func (w *Emulator) removeServer(b *server, tell bool) {
	w.mu.Lock()
	if w.servers[b.endpoint.ID] != b {
		w.mu.Unlock()
		return
	}
	delete(w.servers, b.endpoint.ID)
	w.mu.Unlock()
	b.stop()
	w.mu.Lock()
	w.stoppedServers = append(w.stoppedServers, b.metrics())
	w.mu.Unlock()
	if tell {
		b.endpoint.State = "removed"
		w.endpoints.publish(b, false)
	}
}

// Replace drains nodes, ends them after a time, and starts a cold successor for each under
// another id at once.
func (w *Emulator) ReplaceServers(drain time.Duration, ids ...string) error {
	for _, id := range ids {
		b := w.findServer(id)
		if b == nil {
			continue
		}
		if _, err := w.addServer(w.Now()); err != nil {
			return err
		}
		b.draining.Store(true)
		b.endpoint.State = "draining"
		w.endpoints.publish(b, false)
		time.AfterFunc(drain, func() { w.removeServer(b, true) })
	}
	return nil
}

// Kill ends nodes at once and starts cold successors after a time; the list tells of both.
func (w *Emulator) KillServers(back time.Duration, ids ...string) {
	for _, id := range ids {
		b := w.findServer(id)
		if b == nil {
			continue
		}
		w.removeServer(b, true)
		time.AfterFunc(back, func() {
			select {
			case <-w.closed:
			default:
				if _, err := w.addServer(w.Now()); err != nil {
					w.recordError(err)
				}
			}
		})
	}
}

// Trouble makes nodes slower (a factor from 1 on; infinite: they stand still) and has a part of
// their requests fail.
func (w *Emulator) SetServerFault(slow, fails float64, ids ...string) {
	for _, id := range ids {
		if b := w.findServer(id); b != nil {
			b.machine.setFault(slow, fails)
		}
	}
}

// Silence cuts nodes off from the agents of all zones but one (below zero: of all), or ends it.
func (w *Emulator) PartitionServers(on bool, but int, ids ...string) {
	var zones []int
	for z := range w.config.Zones {
		if z != but {
			zones = append(zones, z)
		}
	}
	for _, id := range ids {
		if b := w.findServer(id); b != nil {
			b.setPartitioned(on, zones...)
		}
	}
}

// Change is a time of the traffic, from its begin on, in which Rate times as much is asked and a
// part Hot of the requests has the hottest key.
type TrafficChange struct {
	From, To                time.Duration
	RateFactor, HotKeyShare float64
}

// Changes sets how the traffic changes; it is for before Run, so that what is asked follows from
// the seed alone.
func (w *Emulator) SetTrafficChanges(changes ...TrafficChange) { w.trafficChanges = changes }

// traffic is the factor of the rate and the part with the hottest key at a time of the traffic.
func (w *Emulator) trafficAt(at time.Duration) (rate, hot float64) {
	rate = 1
	for _, c := range w.trafficChanges {
		if at >= c.From && at < c.To {
			rate *= c.RateFactor
			hot = max(hot, c.HotKeyShare)
		}
	}
	return rate, hot
}

// ListDown makes discovery silent, or ends that.
func (w *Emulator) SetDiscoveryUnavailable(down bool) { w.endpoints.setUnavailable(down) }

// Result is what came of a run.
type Result struct {
	Seconds    []SecondTotals     `json:"Seconds"`
	Metrics    map[string]float64 `json:"Figures"` // by name, with their unit in it
	Servers    []ServerMetrics    `json:"Nodes"`
	Violations []Violation        `json:"Broken"`
	Errors     []string           `json:"Faults"` // of the lab itself: the run does not count
	Attempts   int                `json:"Attempts"`
}

// LateLimit is how late the lab may be at the 99th percentile for a run to count.
const MaxTimerDelay = 5 * time.Millisecond

func (w *Emulator) result() *Result {
	h := &History{}
	w.clients.mu.Lock()
	for _, r := range w.clients.finished {
		r.mu.Lock()
		t := *r.record
		t.Attempts = slices.Clone(t.Attempts)
		r.mu.Unlock()
		h.Requests = append(h.Requests, &t)
	}
	r := &Result{Seconds: slices.Clone(w.clients.seconds), Metrics: map[string]float64{}}
	r.Metrics["latency p50 ms"] = float64(w.clients.latencies.ValueAtQuantile(50)) / 1000
	r.Metrics["latency p99 ms"] = float64(w.clients.latencies.ValueAtQuantile(99)) / 1000
	if n := float64(w.clients.latencies.TotalCount()); n > 0 {
		r.Metrics["sojourn mean ms"], r.Metrics["work mean ms"] = 1000*w.clients.sojournSeconds/n, 1000*w.clients.workSeconds/n
	}
	w.clients.mu.Unlock()
	w.endpoints.mu.Lock()
	h.Removals = slices.Clone(w.endpoints.removals)
	w.endpoints.mu.Unlock()
	w.mu.Lock()
	h.Overloads, r.Servers, r.Errors = slices.Clone(w.overloads), slices.Clone(w.stoppedServers), slices.Clone(w.errors)
	for _, b := range w.servers {
		r.Servers = append(r.Servers, b.metrics())
	}
	if w.unknownRequests > 0 {
		r.Violations = append(r.Violations, Violation{"duplicate", fmt.Sprintf("%d requests at nodes that no client sent", w.unknownRequests), nil})
	}
	w.mu.Unlock()
	slices.SortFunc(r.Servers, func(a, b ServerMetrics) int { return strings.Compare(a.Server, b.Server) })
	w.timerMu.Lock()
	late, worst := time.Duration(w.timerDelays.ValueAtQuantile(99))*time.Microsecond, time.Duration(w.timerDelays.Max())*time.Microsecond
	w.timerMu.Unlock()
	// Times are not judged finer than this machine kept them.
	contract := w.config.Contract
	contract.Slack += worst
	r.Violations = append(r.Violations, Judge(h, w.config.Classes, &contract)...)
	if late > MaxTimerDelay {
		r.Errors = append(r.Errors, fmt.Sprintf("the lab was late by %v at the 99th percentile", late))
	}
	r.Metrics["lab late p99 ms"] = late.Seconds() * 1000
	r.summarize(h, w)
	return r
}

// sum makes the figures of the whole run.
func (r *Result) summarize(h *History, w *Emulator) {
	var all SecondTotals
	for _, s := range r.Seconds {
		all.Requested += s.Requested
		all.InTime += s.InTime
		all.Late += s.Late
		all.Rejected += s.Rejected
		all.Failed += s.Failed
	}
	if all.Requested > 0 {
		r.Metrics["in time"] = all.InTime / all.Requested
		r.Metrics["late"] = all.Late / all.Requested
		r.Metrics["refused"] = all.Rejected / all.Requested
		r.Metrics["failed"] = all.Failed / all.Requested
	}
	firsts, attempts, how := 0, 0, map[string]int{}
	for _, t := range h.Requests {
		if t.Retry == 0 {
			firsts++
		}
		attempts += len(t.Attempts)
		for _, a := range t.Attempts {
			how[a.Outcome]++
		}
	}
	r.Attempts = attempts
	r.Metrics["requests"] = float64(firsts)
	per := func(name string, n float64) { r.Metrics[name] = n / max(1, float64(firsts)) }
	per("tries a request", float64(len(h.Requests)))
	per("attempts a request", float64(attempts))
	per("list calls a request", float64(w.endpoints.calls.Load()))
	per("list lines a request", float64(w.endpoints.entriesSent.Load()))
	for _, k := range []string{AttemptFailed, AttemptRejected, AttemptCancelled, AttemptBroken} {
		per(k+" a request", float64(how[k]))
	}
	var hand, probes, cold float64
	for _, n := range r.Servers {
		hand += float64(n.Handshakes)
		probes += float64(n.HealthChecks)
		cold = max(cold, n.SlowStartLoad)
	}
	per("handshakes a request", hand)
	per("probes a request", probes)
	r.Metrics["cold load of its bound"] = cold
	r.Metrics["cold nodes fallen"] = float64(len(h.Overloads))
}
