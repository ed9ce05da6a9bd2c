package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	keyedRequests   = 120
	requestInterval = 200 * time.Millisecond
)

// zoneServers are servers that drop a repeat of what a server of their own zone has executed. The bad one executes a
// request and then answers 500.
type zoneServers struct {
	r     *run
	mu    sync.Mutex
	zones map[string][]string        // by Request-Id: the zone of each attempt
	ran   map[string]map[string]bool // by Idempotency-Key: the zones that have executed it
}

func (s *zoneServers) serve(name, zone string, cell int, bad bool) entry {
	addr, _ := s.r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		attempt, repeat, ranIn := s.execute(req.Header.Get("Request-Id"), req.Header.Get("Idempotency-Key"), zone)
		status := http.StatusOK
		if bad {
			status = http.StatusInternalServerError
		}
		s.r.logf("server %s in %s: request %s, attempt %d, dropped as a repeat: %v, has taken effect in %d zones; answers %d",
			name, zone, req.Header.Get("Request-Id"), attempt, repeat, ranIn, status)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "done")
	}))
	return entry{ID: name, Addr: addr, Zone: zone, Kind: "normal-2c", Cell: cell, State: "up", Weight: 1}
}

func (s *zoneServers) execute(id, key, zone string) (attempt int, repeat bool, ranIn int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zones[id] = append(s.zones[id], zone)
	if s.ran[key] == nil {
		s.ran[key] = map[string]bool{}
	}
	repeat = s.ran[key][zone]
	s.ran[key][zone] = true
	return len(s.zones[id]), repeat, len(s.ran[key])
}

func init() { cases["zones"] = zonesCase }

// zonesCase: new settings with two further failure domains come by SIGHUP, then discovery lists servers of these. A
// guarded request with the group "zone" that may have run in one zone must not be sent to another one.
func zonesCase(r *run) {
	servers := &zoneServers{r: r, zones: map[string][]string{}, ran: map[string]map[string]bool{}}
	zones := []string{"quito-norte", "quito-sur", "guayaquil", "cuenca"}
	var old []entry
	for i := range 6 {
		zone := zones[i%2]
		old = append(old, servers.serve(fmt.Sprintf("s-%s-%d", zone, i), zone, i, false))
	}
	list := newListing(r, old...)
	first, oldServer := r.serve(list)
	known, _, _ := list.list(0, true)
	atStart := zones[:2]
	if !r.trouble {
		atStart = zones
	}
	a := r.startAgent(config(first, known, settings(mantaClasses, atStart...)))
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		second, _ := r.serve(list)
		r.writeConfig(a, config(second, known, settings(mantaClasses, zones...)))
		r.signal(a.process, syscall.SIGHUP)
		oldServer.moveAway()
	}
	time.Sleep(6 * time.Second)
	list.put(servers.serve("s-guayaquil-6", "guayaquil", 6, true), servers.serve("s-cuenca-7", "cuenca", 7, false))
	time.Sleep(7 * time.Second)
	answers := map[string]int{}
	for i := range keyedRequests {
		answers[r.send(a, fmt.Sprintf("r%d", i))]++
		time.Sleep(requestInterval)
	}
	r.logf("answers: %v", answers)
	servers.mu.Lock()
	defer servers.mu.Unlock()
	for i := range keyedRequests {
		id := fmt.Sprintf("r%d", i)
		for _, zone := range servers.zones[id] {
			if zone != servers.zones[id][0] {
				r.breaks("duplicate: request %s of a guarded class with the group zone was sent to %s", id,
					strings.Join(servers.zones[id], ", then to "))
				break
			}
		}
	}
}

// send sends a keyed request on a new connection and returns the status of the answer.
func (r *run) send(a *agent, id string) string {
	conn, err := dial(a.listen)
	r.must(err, "connect")
	defer func() { _ = conn.Close() }()
	body := "tarifa=1.00"
	r.logf("client: sends %s of reserva-cupo", id)
	_, _ = io.WriteString(conn, head("POST", "/api/"+id, id, "reserva-cupo", 2000, len(body), "Idempotency-Key: k-"+id+"\r\n")+body)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.logf("client: %s: %v", id, err)
		return "none"
	}
	_, _ = io.ReadAll(resp.Body)
	r.logf("client: %s: %s", id, resp.Status)
	return resp.Status
}
