package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// list is the list of nodes as each agent's machine has it: changes come to each in their order,
// late by a time drawn for each (PROTOCOL, "Discovery"). What an agent has counts as told.
type endpointList struct {
	emulator   *Emulator
	mu         sync.Mutex
	version    uint64
	agentViews map[string]*agentView
	viewOrder  []*agentView
	restored   chan struct{} // not nil while discovery is down; closed when it is up again
	removals   []Notification

	calls, entriesSent atomic.Uint64
}

type agentView struct {
	agent   string
	zone    int
	random  *rand.Rand
	version uint64
	entries map[string]listEntry
	ids     []string // in the order in which they came
	pending []pendingChange
	changed chan struct{} // closed and made anew at a change
}

type listEntry struct {
	endpoint.Target
	version    uint64
	notifiedAt time.Duration
}

type pendingChange struct {
	at      time.Duration
	version uint64
	entry   endpoint.Target
}

func newEndpointList(w *Emulator) *endpointList {
	l := &endpointList{emulator: w, agentViews: map[string]*agentView{}}
	for i, a := range w.config.Agents {
		v := &agentView{agent: a.Name, zone: a.Zone, random: rand.New(rand.NewPCG(w.config.Seed, 2000+uint64(i))),
			entries: map[string]listEntry{}, changed: make(chan struct{})}
		l.agentViews[a.Name], l.viewOrder = v, append(l.viewOrder, v)
	}
	return l
}

// publish tells all agents of a node as it is now, at once or late.
func (l *endpointList) publish(b *server, atOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, v := range l.viewOrder {
		delay := l.emulator.config.ListDelay[0] + time.Duration(v.random.Float64()*float64(l.emulator.config.ListDelay[1]-l.emulator.config.ListDelay[0]))
		entry := b.endpoint
		entry.Addr = b.addresses[v.zone]
		if atOnce {
			delay = 0
		}
		at := l.emulator.Now() + delay
		if n := len(v.pending); n > 0 {
			at = max(at, v.pending[n-1].at) // changes keep their order
		}
		v.pending = append(v.pending, pendingChange{at, l.version, entry})
		if delay == 0 {
			l.deliverDue(v)
		} else {
			time.AfterFunc(at-l.emulator.Now(), func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.deliverDue(v)
			})
		}
	}
}

// flush gives an agent what is due. The caller holds mu.
func (l *endpointList) deliverDue(v *agentView) {
	now, some := l.emulator.Now(), false
	for ; l.restored == nil && len(v.pending) > 0 && v.pending[0].at <= now; v.pending = v.pending[1:] {
		p := v.pending[0]
		if _, ok := v.entries[p.entry.ID]; !ok {
			v.ids = append(v.ids, p.entry.ID)
		}
		v.entries[p.entry.ID], v.version, some = listEntry{p.entry, p.version, now}, p.version, true
		if p.entry.State != "up" {
			l.removals = append(l.removals, Notification{v.agent, p.entry.ID, now})
		}
	}
	if some {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// setDown makes discovery silent, or ends that.
func (l *endpointList) setUnavailable(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case down == (l.restored != nil):
	case down:
		l.restored = make(chan struct{})
	default:
		close(l.restored)
		l.restored = nil
		for _, v := range l.viewOrder {
			l.deliverDue(v)
		}
	}
}

func (l *endpointList) notifiedOfStart(agent, node string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.agentViews[agent]
	if v == nil {
		return false
	}
	s, ok := v.entries[node]
	return ok && s.StartedMs > 0
}

// since are an agent's entries changed after a version, and the channel that ends at a change.
func (l *endpointList) changesSince(v *agentView, index uint64, full bool) (endpoint.List, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = full || index > v.version
	out := endpoint.List{Version: v.version, Full: full, Servers: []endpoint.Target{}}
	for _, id := range v.ids {
		if s := v.entries[id]; full && s.State != "removed" || !full && s.version > index {
			out.Servers = append(out.Servers, s.Target)
		}
	}
	return out, v.changed
}

func (l *endpointList) fullList(agent string) endpoint.List {
	out, _ := l.changesSince(l.agentViews[agent], 0, true)
	return out
}

// serveList opens an agent's discovery.
func (w *Emulator) serveDiscovery(agent, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	v := w.endpoints.agentViews[agent]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(rw http.ResponseWriter, r *http.Request) { w.endpoints.handleList(v, rw, r) })
	s := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	w.discoveryServers = append(w.discoveryServers, s)
	w.background.Add(1)
	go func() {
		defer w.background.Done()
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			w.recordError(err)
		}
	}()
	return nil
}

func (l *endpointList) handleList(v *agentView, rw http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	index, watch := uint64(0), r.FormValue("index") != ""
	wait, _ := strconv.Atoi(r.FormValue("wait"))
	if watch {
		var err error
		if index, err = strconv.ParseUint(r.FormValue("index"), 10, 64); err != nil {
			http.Error(rw, "index: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	over := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer over.Stop()
	for late := false; ; {
		l.mu.Lock()
		up := l.restored
		l.mu.Unlock()
		if up != nil { // silent, whatever it has
			select {
			case <-up:
				continue
			case <-r.Context().Done():
				return
			}
		}
		out, wake := l.changesSince(v, index, !watch)
		if !watch || late || out.Full || len(out.Servers) > 0 {
			l.entriesSent.Add(uint64(len(out.Servers)))
			rw.Header().Set("Content-Type", "application/json")
			json.NewEncoder(rw).Encode(out)
			return
		}
		select {
		case <-wake:
		case <-over.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}
