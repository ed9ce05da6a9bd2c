package main

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	uploadBytes     = 4_928_000 // under the 32 MB of the page
	uploadPerSecond = 64_000    // the page's 64 kB a second
)

func init() { cases["upload"] = uploadCase }

// uploadCase: a client sends a long body at the rate that the page allows, and the server answers 500. The request has
// to get its final answer.
func uploadCase(r *run) {
	received := func(w http.ResponseWriter, req *http.Request) {
		began := time.Now()
		n, err := io.Copy(io.Discard, req.Body)
		status := http.StatusOK
		if req.Header.Get("Request-Id") == "mala-larga" {
			status = http.StatusInternalServerError
		}
		r.logf("server: request %s, %s ms, %d bytes in %.1f s (%v); answers %d", req.Header.Get("Request-Id"),
			req.Header.Get("Request-Timeout-Ms"), n, time.Since(began).Seconds(), err, status)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "done")
	}
	var entries []entry
	for _, id := range []string{"s-1", "s-2"} {
		addr, _ := r.serve(http.HandlerFunc(received))
		entries = append(entries, entry{ID: id, Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	}
	list := newListing(r, entries...)
	addr, _ := r.serve(list)
	known, _, _ := list.list(0, true)
	a := r.startAgent(config(addr, known, settings(quitoClasses, "quito-norte")))
	var clients sync.WaitGroup
	for _, id := range []string{"mala", "buena"} {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.upload(a, id)
		}()
	}
	clients.Wait()
}

// upload sends a short request and then a long one on one connection, and checks the answers.
func (r *run) upload(a *agent, id string) {
	const timeout = 3 * time.Second
	conn, err := dial(a.listen)
	if err != nil {
		r.breaks("lost: %s: no connection: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	answer := func(name string, limit time.Duration) {
		sent := time.Now()
		_ = conn.SetReadDeadline(sent.Add(limit))
		resp, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			r.breaks("lost: request %s has no final answer: %v, %.3f s after its last byte", name, err,
				time.Since(sent).Seconds())
			return
		}
		r.logf("client: %s: %s after %.3f s", name, resp.Status, time.Since(sent).Seconds())
	}
	_, _ = io.WriteString(conn, head("GET", "/api/x", id+"-corta", "consulta", 2000, 0, ""))
	answer(id+"-corta", timeout)
	chunk := []byte(strings.Repeat("x", uploadPerSecond/10))
	r.logf("client: %s: sends the head, then %d bytes", id, uploadBytes)
	began := time.Now()
	_, err = io.WriteString(conn, head("POST", "/api/x", id+"-larga", "cierre-valor", int(timeout.Milliseconds()), uploadBytes, ""))
	for sent := 0; err == nil && sent < uploadBytes; sent += len(chunk) {
		if r.trouble {
			time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / uploadPerSecond)))
		}
		_, err = conn.Write(chunk)
	}
	r.logf("client: %s: last byte sent after %.1f s (%v)", id, time.Since(began).Seconds(), err)
	answer(id+"-larga", timeout+550*time.Millisecond)
}
