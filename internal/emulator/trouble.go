package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Run has the applications ask for a time and gives what came of it, once the last request has
// ended.
func (w *World) Run(length time.Duration) *Result {
	w.clients.run(length)
	return w.result()
}

// Stop ends the traffic before its time; what is open is given up.
func (w *World) Stop() { w.stop.Do(func() { close(w.stopped) }) }

// Nodes are the ids of the nodes that are there, in their order; of one zone, if zone is not
// below zero.
func (w *World) Nodes(zone int) (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, b := range w.nodes {
		if zone < 0 || b.zone == zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *World) node(id string) *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[id]
}

// direct is the address of the node that application number i calls itself.
func (w *World) direct(i int) string {
	ids := w.Nodes(-1)
	return w.node(ids[i%len(ids)]).addrs[w.cfg.Agents[i].Zone]
}

// remove ends a node's process; the list says so where it is told.
func (w *World) remove(b *backend, tell bool) {
	w.mu.Lock()
	if w.nodes[b.entry.ID] != b {
		w.mu.Unlock()
		return
	}
	delete(w.nodes, b.entry.ID)
	w.mu.Unlock()
	b.end()
	w.mu.Lock()
	w.ended = append(w.ended, b.figures())
	w.mu.Unlock()
	if tell {
		b.entry.State = "removed"
		w.list.publish(b, false)
	}
}

// Replace drains nodes, ends them after a time, and starts a cold successor for each under
// another id at once.
func (w *World) Replace(drain time.Duration, ids ...string) error {
	for _, id := range ids {
		b := w.node(id)
		if b == nil {
			continue
		}
		if _, err := w.add(w.Now()); err != nil {
			return err
		}
		b.drain.Store(true)
		b.entry.State = "draining"
		w.list.publish(b, false)
		time.AfterFunc(drain, func() { w.remove(b, true) })
	}
	return nil
}

// Kill ends nodes at once and starts cold successors after a time; the list tells of both.
func (w *World) Kill(back time.Duration, ids ...string) {
	for _, id := range ids {
		b := w.node(id)
		if b == nil {
			continue
		}
		w.remove(b, true)
		time.AfterFunc(back, func() {
			select {
			case <-w.closed:
			default:
				if _, err := w.add(w.Now()); err != nil {
					w.fault(err)
				}
			}
		})
	}
}

// Trouble makes nodes slower (a factor from 1 on; infinite: they stand still) and has a part of
// their requests fail.
func (w *World) Trouble(slow, fails float64, ids ...string) {
	for _, id := range ids {
		if b := w.node(id); b != nil {
			b.node.trouble(slow, fails)
		}
	}
}

// Silence cuts nodes off from the agents of all zones but one (below zero: of all), or ends it.
func (w *World) Silence(on bool, but int, ids ...string) {
	var zones []int
	for z := range w.cfg.Zones {
		if z != but {
			zones = append(zones, z)
		}
	}
	for _, id := range ids {
		if b := w.node(id); b != nil {
			b.silence(on, zones...)
		}
	}
}

// Change is a time of the traffic, from its begin on, in which Rate times as much is asked and a
// part Hot of the requests has the hottest key.
type Change struct {
	From, To  time.Duration
	Rate, Hot float64
}

// Changes sets how the traffic changes; it is for before Run, so that what is asked follows from
// the seed alone.
func (w *World) Changes(changes ...Change) { w.changes = changes }

// traffic is the factor of the rate and the part with the hottest key at a time of the traffic.
func (w *World) traffic(at time.Duration) (rate, hot float64) {
	rate = 1
	for _, c := range w.changes {
		if at >= c.From && at < c.To {
			rate *= c.Rate
			hot = max(hot, c.Hot)
		}
	}
	return rate, hot
}

// ListDown makes discovery silent, or ends that.
func (w *World) ListDown(down bool) { w.list.setDown(down) }

// Result is what came of a run.
type Result struct {
	Seconds  []Second           `json:"Seconds"`
	Figures  map[string]float64 `json:"Figures"` // by name, with their unit in it
	Nodes    []NodeFigures      `json:"Nodes"`
	Broken   []Violation        `json:"Broken"`
	Faults   []string           `json:"Faults"` // of the lab itself: the run does not count
	Attempts int                `json:"Attempts"`
}

// LateLimit is how late the lab may be at the 99th percentile for a run to count.
const LateLimit = 5 * time.Millisecond

func (w *World) result() *Result {
	h := &History{}
	w.clients.mu.Lock()
	for _, r := range w.clients.seen {
		r.mu.Lock()
		t := *r.try
		t.Attempts = slices.Clone(t.Attempts)
		r.mu.Unlock()
		h.Tries = append(h.Tries, &t)
	}
	r := &Result{Seconds: slices.Clone(w.clients.secs), Figures: map[string]float64{}}
	r.Figures["latency p50 ms"] = float64(w.clients.lat.ValueAtQuantile(50)) / 1000
	r.Figures["latency p99 ms"] = float64(w.clients.lat.ValueAtQuantile(99)) / 1000
	if n := float64(w.clients.lat.TotalCount()); n > 0 {
		r.Figures["sojourn mean ms"], r.Figures["work mean ms"] = 1000*w.clients.sojourn/n, 1000*w.clients.asked/n
	}
	w.clients.mu.Unlock()
	w.list.mu.Lock()
	h.Leaving = slices.Clone(w.list.leaving)
	w.list.mu.Unlock()
	w.mu.Lock()
	h.Falls, r.Nodes, r.Faults = slices.Clone(w.falls), slices.Clone(w.ended), slices.Clone(w.faults)
	for _, b := range w.nodes {
		r.Nodes = append(r.Nodes, b.figures())
	}
	if w.strays > 0 {
		r.Broken = append(r.Broken, Violation{"duplicate", fmt.Sprintf("%d requests at nodes that no client sent", w.strays), nil})
	}
	w.mu.Unlock()
	slices.SortFunc(r.Nodes, func(a, b NodeFigures) int { return strings.Compare(a.Node, b.Node) })
	w.lateMu.Lock()
	late, worst := time.Duration(w.late.ValueAtQuantile(99))*time.Microsecond, time.Duration(w.late.Max())*time.Microsecond
	w.lateMu.Unlock()
	// Times are not judged finer than this machine kept them.
	contract := w.cfg.Contract
	contract.Slack += worst
	r.Broken = append(r.Broken, Judge(h, w.cfg.Classes, &contract)...)
	if late > LateLimit {
		r.Faults = append(r.Faults, fmt.Sprintf("the lab was late by %v at the 99th percentile", late))
	}
	r.Figures["lab late p99 ms"] = late.Seconds() * 1000
	r.sum(h, w)
	return r
}

// sum makes the figures of the whole run.
func (r *Result) sum(h *History, w *World) {
	var all Second
	for _, s := range r.Seconds {
		all.Asked += s.Asked
		all.InTime += s.InTime
		all.Late += s.Late
		all.Refused += s.Refused
		all.Failed += s.Failed
	}
	if all.Asked > 0 {
		r.Figures["in time"] = all.InTime / all.Asked
		r.Figures["late"] = all.Late / all.Asked
		r.Figures["refused"] = all.Refused / all.Asked
		r.Figures["failed"] = all.Failed / all.Asked
	}
	firsts, attempts, how := 0, 0, map[string]int{}
	for _, t := range h.Tries {
		if t.Nth == 0 {
			firsts++
		}
		attempts += len(t.Attempts)
		for _, a := range t.Attempts {
			how[a.How]++
		}
	}
	r.Attempts = attempts
	r.Figures["requests"] = float64(firsts)
	per := func(name string, n float64) { r.Figures[name] = n / max(1, float64(firsts)) }
	per("tries a request", float64(len(h.Tries)))
	per("attempts a request", float64(attempts))
	per("list calls a request", float64(w.list.calls.Load()))
	per("list lines a request", float64(w.list.lines.Load()))
	for _, k := range []string{Error, TurnedAway, CalledOff, Broken} {
		per(k+" a request", float64(how[k]))
	}
	var hand, probes, cold float64
	for _, n := range r.Nodes {
		hand += float64(n.Handshakes)
		probes += float64(n.Probes)
		cold = max(cold, n.Cold)
	}
	per("handshakes a request", hand)
	per("probes a request", probes)
	r.Figures["cold load of its bound"] = cold
	r.Figures["cold nodes fallen"] = float64(len(h.Falls))
}
