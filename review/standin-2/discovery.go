package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// standInDiscovery is a discovery service as the protocol page describes it. It keeps all changes, so that a watch gets
// those since its version.
type standInDiscovery struct {
	server *http.Server
	ln     net.Listener

	mu      sync.Mutex
	entries map[string]target
	changes []change
	version uint64
	changed chan struct{}
	silent  bool // open calls get no answer
	toldAt  map[string]time.Time
}

type change struct {
	version uint64
	entry   target
}

func newStandInDiscovery(version uint64, list []target) *standInDiscovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &standInDiscovery{ln: ln, entries: map[string]target{}, version: version, changed: make(chan struct{}),
		toldAt: map[string]time.Time{}}
	for _, t := range list {
		d.entries[t.ID] = t
	}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(ln) }()
	return d
}

func (d *standInDiscovery) addr() string { return d.ln.Addr().String() }

// list returns the whole list.
func (d *standInDiscovery) list() targetList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *standInDiscovery) whole() targetList {
	list := targetList{Version: d.version, Full: true, Servers: []target{}}
	for _, t := range d.entries {
		list.Servers = append(list.Servers, t)
	}
	return list
}

// set changes an entry. The state "removed" removes it.
func (d *standInDiscovery) set(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if t.State == "removed" {
		delete(d.entries, t.ID)
	} else {
		d.entries[t.ID] = t
	}
	d.changes = append(d.changes, change{d.version, t})
	close(d.changed)
	d.changed = make(chan struct{})
	note("list %d: %s is %s", d.version, t.ID, t.State)
}

// setSilent makes open and new calls wait without an answer, or ends that.
func (d *standInDiscovery) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	close(d.changed)
	d.changed = make(chan struct{})
	note("discovery silent: %v", silent)
}

// since returns the changes after a version, or the whole list if they are not known.
func (d *standInDiscovery) since(version uint64) targetList {
	if version > d.version || len(d.changes) == 0 || version+1 < d.changes[0].version {
		return d.whole()
	}
	list := targetList{Version: d.version, Servers: []target{}}
	seen := map[string]int{}
	for _, c := range d.changes {
		if c.version <= version {
			continue
		}
		if i, ok := seen[c.entry.ID]; ok {
			list.Servers[i] = c.entry
			continue
		}
		seen[c.entry.ID] = len(list.Servers)
		list.Servers = append(list.Servers, c.entry)
	}
	return list
}

func (d *standInDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("wait"))
	timeout := time.After(time.Duration(min(waitMs, 60000)) * time.Millisecond)
	over := !query.Has("index") || waitMs == 0
	for {
		d.mu.Lock()
		changed, silent := d.changed, d.silent
		isNew := index != d.version
		var list targetList
		switch {
		case !query.Has("index"):
			list = d.whole()
		case isNew:
			list = d.since(index)
		default:
			list = targetList{Version: d.version, Servers: []target{}}
		}
		d.mu.Unlock()
		if !silent && (over || isNew) {
			_ = json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
			timeout = nil
		case <-r.Context().Done():
			return
		}
	}
}

// retire takes no new connections from now on, and closes the open ones 1.5 s later.
func (d *standInDiscovery) retire() {
	_ = d.ln.Close()
	time.Sleep(closeAfter)
	_ = d.server.Close()
}
