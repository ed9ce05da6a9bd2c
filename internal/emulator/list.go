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
type list struct {
	w       *World
	mu      sync.Mutex
	version uint64
	views   map[string]*listView
	order   []*listView
	up      chan struct{} // not nil while discovery is down; closed when it is up again
	leaving []Told

	calls, lines atomic.Uint64
}

type listView struct {
	agent   string
	zone    int
	draw    *rand.Rand
	version uint64
	servers map[string]listed
	ids     []string // in the order in which they came
	pending []pending
	wake    chan struct{} // closed and made anew at a change
}

type listed struct {
	endpoint.Endpoint
	version uint64
	told    time.Duration
}

type pending struct {
	at      time.Duration
	version uint64
	entry   endpoint.Endpoint
}

func newList(w *World) *list {
	l := &list{w: w, views: map[string]*listView{}}
	for i, a := range w.cfg.Agents {
		v := &listView{agent: a.Name, zone: a.Zone, draw: rand.New(rand.NewPCG(w.cfg.Seed, 2000+uint64(i))),
			servers: map[string]listed{}, wake: make(chan struct{})}
		l.views[a.Name], l.order = v, append(l.order, v)
	}
	return l
}

// publish tells all agents of a node as it is now, at once or late.
func (l *list) publish(b *backend, atOnce bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, v := range l.order {
		delay := l.w.cfg.ListDelay[0] + time.Duration(v.draw.Float64()*float64(l.w.cfg.ListDelay[1]-l.w.cfg.ListDelay[0]))
		entry := b.entry
		entry.Addr = b.addrs[v.zone]
		if atOnce {
			delay = 0
		}
		at := l.w.Now() + delay
		if n := len(v.pending); n > 0 {
			at = max(at, v.pending[n-1].at) // changes keep their order
		}
		v.pending = append(v.pending, pending{at, l.version, entry})
		if delay == 0 {
			l.flush(v)
		} else {
			time.AfterFunc(at-l.w.Now(), func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.flush(v)
			})
		}
	}
}

// flush gives an agent what is due. The caller holds mu.
func (l *list) flush(v *listView) {
	now, some := l.w.Now(), false
	for ; l.up == nil && len(v.pending) > 0 && v.pending[0].at <= now; v.pending = v.pending[1:] {
		p := v.pending[0]
		if _, ok := v.servers[p.entry.ID]; !ok {
			v.ids = append(v.ids, p.entry.ID)
		}
		v.servers[p.entry.ID], v.version, some = listed{p.entry, p.version, now}, p.version, true
		if p.entry.State != "up" {
			l.leaving = append(l.leaving, Told{v.agent, p.entry.ID, now})
		}
	}
	if some {
		close(v.wake)
		v.wake = make(chan struct{})
	}
}

// setDown makes discovery silent, or ends that.
func (l *list) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case down == (l.up != nil):
	case down:
		l.up = make(chan struct{})
	default:
		close(l.up)
		l.up = nil
		for _, v := range l.order {
			l.flush(v)
		}
	}
}

func (l *list) aware(agent, node string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.views[agent]
	if v == nil {
		return false
	}
	s, ok := v.servers[node]
	return ok && s.StartedMs > 0
}

// since are an agent's entries changed after a version, and the channel that ends at a change.
func (l *list) since(v *listView, index uint64, full bool) (endpoint.List, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = full || index > v.version
	out := endpoint.List{Version: v.version, Full: full, Servers: []endpoint.Endpoint{}}
	for _, id := range v.ids {
		if s := v.servers[id]; full && s.State != "removed" || !full && s.version > index {
			out.Servers = append(out.Servers, s.Endpoint)
		}
	}
	return out, v.wake
}

func (l *list) whole(agent string) endpoint.List {
	out, _ := l.since(l.views[agent], 0, true)
	return out
}

// serveList opens an agent's discovery.
func (w *World) serveList(agent, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	v := w.list.views[agent]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(rw http.ResponseWriter, r *http.Request) { w.list.answer(v, rw, r) })
	s := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	w.lists = append(w.lists, s)
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			w.fault(err)
		}
	}()
	return nil
}

func (l *list) answer(v *listView, rw http.ResponseWriter, r *http.Request) {
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
		up := l.up
		l.mu.Unlock()
		if up != nil { // silent, whatever it has
			select {
			case <-up:
				continue
			case <-r.Context().Done():
				return
			}
		}
		out, wake := l.since(v, index, !watch)
		if !watch || late || out.Full || len(out.Servers) > 0 {
			l.lines.Add(uint64(len(out.Servers)))
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
