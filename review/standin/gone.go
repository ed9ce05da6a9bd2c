package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["gone"] = goneCase }

const longBody = 1_000_000

// goneCase: a client sends a long request and leaves while the request waits for its only server, whose two places are
// taken for 0.45 s. No attempt may begin more than 0.1 s after the client's close.
func goneCase(r *run) {
	var closedAt atomic.Pointer[time.Time]
	addr, _ := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Request-Id")
		began := time.Now()
		n, err := io.Copy(io.Discard, req.Body)
		r.logf("server: request %s, %d bytes (%v)", id, n, err)
		if closed := closedAt.Load(); id == "largo" && err == nil && closed != nil && began.Sub(*closed) > 150*time.Millisecond {
			r.breaks("lost: an attempt for request %s began %.3f s after its client's close, and came whole", id,
				began.Sub(*closed).Seconds())
		}
		if strings.HasPrefix(id, "lento") {
			time.Sleep(450 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "done")
	}))
	list := newListing(r, entry{ID: "s-1", Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	discovery, _ := r.serve(list)
	known, _, _ := list.list(0, true)
	a := r.startAgent(config(discovery, known, settings(quitoClasses, "quito-norte")))
	time.Sleep(300 * time.Millisecond)
	for i := range 2 {
		conn, err := dial(a.listen)
		r.must(err, "connect")
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, head("GET", "/api/x", fmt.Sprintf("lento%d", i), "consulta", 2000, 0, ""))
	}
	time.Sleep(100 * time.Millisecond)
	conn, err := dial(a.listen)
	r.must(err, "connect")
	_ = conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	text := head("POST", "/api/x", "largo", "cierre-valor", 2500, longBody, "") + strings.Repeat("x", longBody)
	n, err := io.WriteString(conn, text)
	if r.trouble {
		_ = conn.Close()
		now := time.Now()
		closedAt.Store(&now)
	} else {
		defer func() { _ = conn.Close() }()
	}
	r.logf("client: wrote %d of %d bytes (%v); leaves: %v", n, len(text), err, r.trouble)
	time.Sleep(2 * time.Second)
}
