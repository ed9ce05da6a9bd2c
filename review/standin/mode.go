package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["mode"] = modeCase }

// modeCase: new settings change membershipMode from on_request to pushed. After the next failed call to discovery the
// agent must still learn of a removal.
func modeCase(r *run) {
	var mu sync.Mutex
	served := map[string]int{}
	var entries []entry
	for _, id := range []string{"s-1", "s-2"} {
		addr, _ := r.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			served[id]++
			mu.Unlock()
			_, _ = io.WriteString(w, "done")
		}))
		entries = append(entries, entry{ID: id, Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	}
	list := newListing(r, entries...)
	first, oldServer := r.serve(list)
	known, _, _ := list.list(0, true)
	mode := func(name string) object {
		changed := settings(mantaClasses, "quito-norte")
		changed["membershipMode"] = name
		return changed
	}
	before := "on_request"
	if !r.trouble {
		before = "pushed"
	}
	a := r.startAgent(config(first, known, mode(before)))
	time.Sleep(3 * time.Second)
	second, newServer := r.serve(list)
	r.writeConfig(a, config(second, known, mode("pushed")))
	r.signal(a.process, syscall.SIGHUP)
	oldServer.moveAway()
	time.Sleep(3500 * time.Millisecond)
	r.logf("discovery resets its connections and refuses new ones for 0.1 s")
	_ = newServer.Close()
	time.Sleep(100 * time.Millisecond)
	ln, err := net.Listen("tcp", second)
	r.must(err, "listen")
	again := &http.Server{Handler: list}
	go func() { _ = again.Serve(ln) }()
	r.atEnd(func() { _ = again.Close() })
	time.Sleep(time.Second)
	gone := entries[0]
	gone.State = "removed"
	list.put(gone)
	time.Sleep(8 * time.Second)
	mu.Lock()
	clear(served)
	mu.Unlock()
	for i := range 40 {
		r.send(a, fmt.Sprintf("q%d", i))
	}
	mu.Lock()
	defer mu.Unlock()
	r.logf("served: %v", served)
	if served[gone.ID] > 0 {
		r.breaks("drain: %d of 40 requests were sent to %s, over 8 s after discovery had its removal", served[gone.ID], gone.ID)
	}
}
