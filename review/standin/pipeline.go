package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"time"
)

const pipelined = 450 * time.Millisecond // the time of the second request

func init() { cases["pipeline"] = pipelineCase }

// pipelineCase: a client sends two requests at once on one connection. The second waits for the first; its server hangs.
func pipelineCase(r *run) {
	var entries []entry
	for _, id := range []string{"s-1", "s-2"} {
		addr, _ := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			r.logf("server: request %s, %s ms", req.Header.Get("Request-Id"), req.Header.Get("Request-Timeout-Ms"))
			wait := 900 * time.Millisecond
			if strings.HasPrefix(req.Header.Get("Request-Id"), "b") {
				wait = 5 * time.Second
			}
			select {
			case <-time.After(wait):
				_, _ = io.WriteString(w, "done")
			case <-req.Context().Done():
			}
		}))
		entries = append(entries, entry{ID: id, Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	}
	list := newListing(r, entries...)
	addr, _ := r.serve(list)
	known, _, _ := list.list(0, true)
	a := r.startAgent(config(addr, known, settings(quitoClasses, "quito-norte")))
	time.Sleep(time.Second)
	conn, err := dial(a.listen)
	r.must(err, "connect")
	defer func() { _ = conn.Close() }()
	first := head("GET", "/api/a", "a1", "consulta", 2000, 0, "")
	second := head("GET", "/api/b", "b1", "consulta", int(pipelined.Milliseconds()), 0, "")
	if r.trouble {
		_, _ = io.WriteString(conn, first+second)
	} else {
		_, _ = io.WriteString(conn, first)
	}
	sent := time.Now()
	in := bufio.NewReader(conn)
	for _, name := range []string{"a1", "b1"} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			r.logf("client: %s: %v", name, err)
			return
		}
		_, _ = io.ReadAll(resp.Body)
		after := time.Since(sent)
		if name == "a1" && !r.trouble {
			_, _ = io.WriteString(conn, second)
			sent = time.Now()
		}
		r.logf("client: %s: %s after %.3f s", name, resp.Status, after.Seconds())
		if limit := pipelined + 550*time.Millisecond; name == "b1" && after > limit {
			r.breaks("lost: request b1 was answered %.3f s after its last byte, its time was %v", after.Seconds(), pipelined)
		}
	}
}
