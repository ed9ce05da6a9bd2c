package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const idleClients = 150 // of 256 descriptors

func init() { cases["crowd"] = crowdCase }

// crowdCase: peers connect and send nothing. A request on a further connection has to get its final answer, or its
// connection is shut unread.
func crowdCase(r *run) {
	var entries []entry
	for _, id := range []string{"s-1", "s-2"} {
		addr, _ := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			r.logf("server: request %s, %s ms", req.Header.Get("Request-Id"), req.Header.Get("Request-Timeout-Ms"))
			_, _ = io.WriteString(w, "done")
		}))
		entries = append(entries, entry{ID: id, Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	}
	list := newListing(r, entries...)
	addr, _ := r.serve(list)
	known, _, _ := list.list(0, true)
	a := r.startAgent(config(addr, known, settings(quitoClasses, "quito-norte")))
	time.Sleep(time.Second)
	if r.trouble {
		for range idleClients {
			conn, err := dial(a.listen)
			r.must(err, "connect")
			defer func() { _ = conn.Close() }()
		}
		r.logf("%d peers have connected and send nothing", idleClients)
	}
	time.Sleep(300 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range 5 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.crowded(a, fmt.Sprintf("c%d", i))
		}()
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
}

// crowded sends a request on a new connection and checks that it is answered in time or shut unread.
func (r *run) crowded(a *agent, id string) {
	const timeout = time.Second
	const limit = timeout + 550*time.Millisecond
	conn, err := dial(a.listen)
	if err != nil {
		r.logf("client: %s: no connection: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, head("GET", "/api/"+id, id, "consulta", int(timeout.Milliseconds()), 0, ""))
	sent := time.Now()
	r.logf("client: %s: sent on a connection that came up (%v)", id, err)
	_ = conn.SetReadDeadline(sent.Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	after := time.Since(sent).Seconds()
	switch {
	case err == nil:
		r.logf("client: %s: %s after %.3f s", id, resp.Status, after)
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.breaks("lost: request %s has neither an answer nor a close %.3f s after its last byte, its time was %v", id, after, timeout)
		_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			r.logf("client: %s: later: %s after %.3f s", id, resp.Status, time.Since(sent).Seconds())
		} else {
			r.logf("client: %s: later: %v after %.3f s", id, err, time.Since(sent).Seconds())
		}
	default:
		r.logf("client: %s: shut unread after %.3f s: %v", id, after, err)
	}
}
