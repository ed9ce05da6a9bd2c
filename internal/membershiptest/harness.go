// Package membershiptest runs fleets of the real agent on one machine, through a switchboard that
// puts faults between them, and judges their fleet views: a checker decides safety over the
// merged histories of all processes, and the same histories give the times that a change
// took to be seen by all. The program's tests run its cases at a small size; the command
// membership runs them at any.
package membershiptest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Config says what fleet to run.
type Config struct {
	Binary string // the built agent
	Dir    string // for configurations and logs
	Agents int    // processes, in three zones
	Seeds  int    // the first so many are everyone's seeds
	Seed   uint64 // of all that is drawn
	// Fleet are the timings of the agents' section "fleet" (see membership.Config).
	Membership membership.Config
	// Alone tells which processes have no fleet section; nil: none.
	WithoutMembership func(i int) bool
	// Log is told what happens; nil: nobody.
	Log func(format string, args ...any)
}

// Lab is a running fleet with its board and its history.
type Harness struct {
	cfg       Config
	Proxy     *faultproxy.Proxy
	processes *processtest.Cluster
	Names     []string
	relays    map[string][2]string // bind and advertise
	discovery *http.Server
	random    *rand.Rand

	mu           sync.Mutex
	incarnations []*ProcessIncarnation
	records      map[string]*Record // by observer's process
	exemptions   []Exemption
}

// agentSettings are the least that an agent takes.
const agentSettings = `{"classes":[{"name":"order","aimMs":2000,"giveUpMs":3000,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"askWithinMs":1600,"drainGraceMs":250},"failureDomains":["east"],"shapes":["big"],"replicasOfMe":%d,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600},
"membershipMode":"on_request","objectiveMix":{"whole":1},"roundMs":5}`

// Upgrade is the name of the second process of an agent, beside the first.
func UpgradeName(name string) string { return name + "-next" }

// New makes the fleet's addresses and configurations; nothing runs yet.
func New(cfg Config) (*Harness, error) {
	if cfg.Agents < 2 || cfg.Seeds < 1 || cfg.Seeds > cfg.Agents {
		return nil, fmt.Errorf("fleetlab: %d processes with %d seeds", cfg.Agents, cfg.Seeds)
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	board, err := faultproxy.New(cfg.Seed)
	if err != nil {
		return nil, err
	}
	h := &Harness{cfg: cfg, Proxy: board, relays: map[string][2]string{}, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		records: map[string]*Record{}}
	var all []string
	for i := range cfg.Agents {
		name := fmt.Sprintf("a%03d", i)
		h.Names = append(h.Names, name)
		all = append(all, name, UpgradeName(name))
		bind, advertise, err := board.Add(name)
		if err != nil {
			board.Close()
			return nil, err
		}
		h.relays[name] = [2]string{bind, advertise}
	}
	if err := h.serveDiscovery(); err != nil {
		board.Close()
		return nil, err
	}
	h.processes, err = processtest.New(processtest.Config{Binary: cfg.Binary, Dir: cfg.Dir, Names: all, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(cfg.Dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + cfg.Dir}
	}})
	for i, name := range h.Names {
		for _, next := range []bool{false, true} {
			if err == nil {
				err = h.writeConfig(name, i, next)
			}
		}
	}
	if err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// discover serves a list of one server to all agents, and is that server.
func (h *Harness) serveDiscovery() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		if wait, err := strconv.Atoi(r.FormValue("wait")); err == nil {
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"east","kind":"big","state":"up","weight":1}]}`, ln.Addr())
	})
	mux.HandleFunc("POST /api/", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "done")
	})
	h.discovery = &http.Server{Addr: ln.Addr().String(), Handler: mux}
	go h.discovery.Serve(ln)
	return nil
}

// configure writes an agent's configuration; the next process of an agent has the same
// but the doors.
func (h *Harness) writeConfig(name string, i int, next bool) error {
	own := h.relays[name]
	c := h.cfg.Membership
	c.Bind, c.Advertise, c.Site, c.Zone = own[0], own[1], "lab", fmt.Sprintf("z%d", i%3)
	c.Networks = []string{"127.0.0.0/8"}
	for _, s := range h.Names[:h.cfg.Seeds] {
		c.Seeds = append(c.Seeds, h.relays[s][1])
	}
	file := name
	if next {
		file = UpgradeName(name)
	}
	sections := map[string]any{"name": name, "listen": h.address(file, 8000), "management": h.address(file, 8001),
		"discovery": h.discovery.Addr, "seed": "1", "limits": map[string]any{"cores": 0.2, "memory_mb": 64, "sockets": 256},
		"known": map[string]any{"version": 0, "full": true, "servers": []any{}}, "fleet": c,
		"settings": json.RawMessage(fmt.Sprintf(agentSettings, h.cfg.Agents))}
	if h.cfg.WithoutMembership != nil && h.cfg.WithoutMembership(i) {
		delete(sections, "fleet")
	}
	text, err := json.Marshal(sections)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(h.cfg.Dir, file+".json"), text, 0o600)
}

// door is an address of a process for those outside the fleet: port 8000 is the clients',
// 8001 the operators'.
func (h *Harness) address(name string, port int) string {
	if bind, ok := h.relays[name]; ok {
		host, _, _ := net.SplitHostPort(bind[0])
		return net.JoinHostPort(host, strconv.Itoa(port))
	}
	return h.address(name[:len(name)-len("-next")], port+10)
}

// Close ends every process, the board and the list.
func (h *Harness) Close() {
	if h.processes != nil {
		processtest.Each(h.processes.Names(), func(n string) error { return h.processes.Kill(n) })
	}
	h.discovery.Close()
	h.Proxy.Close()
}

// Start starts processes at once and waits until each has told its identity.
func (h *Harness) Start(names ...string) error {
	began := time.Now()
	if err := processtest.Each(names, func(n string) error { return h.processes.Start(n) }); err != nil {
		return err
	}
	return processtest.Each(names, func(n string) error {
		if h.isWithoutMembership(n) {
			return nil
		}
		var s *membership.Status
		if err := processtest.Await(time.Minute, n+" answers its operators", func() bool {
			s, _ = h.Status(n, 1<<62)
			return s != nil
		}); err != nil {
			return err
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.incarnations = append(h.incarnations, &ProcessIncarnation{Name: s.Self, Process: s.Process, processName: n, Start: began})
		h.records[s.Process] = &Record{Observer: s.Self, Process: s.Process}
		return nil
	})
}

// alone tells whether a process has no fleet view.
func (h *Harness) isWithoutMembership(name string) bool {
	return h.cfg.WithoutMembership != nil && h.cfg.WithoutMembership(slices.Index(h.Names, name))
}

// end notes the end of a process's life.
func (h *Harness) recordEnd(proc string, left bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, incarnation := range h.incarnations {
		if incarnation.processName == proc && incarnation.End.IsZero() {
			incarnation.End, incarnation.Left = time.Now(), left
		}
	}
}

// Kill sends SIGKILL to processes at one moment, after a last look at what they saw.
func (h *Harness) Kill(names ...string) error {
	h.collectChanges(names)
	for _, n := range names {
		h.recordEnd(n, false)
	}
	return processtest.Each(names, func(n string) error { return h.processes.Kill(n) })
}

// Term sends SIGTERM to processes and waits for their ends.
func (h *Harness) Term(names ...string) error {
	h.collectChanges(names)
	for _, n := range names {
		h.recordEnd(n, true)
	}
	return processtest.Each(names, func(n string) error { return h.processes.Term(n) })
}

// Pause stands processes still for a time.
func (h *Harness) Pause(d time.Duration, names ...string) error {
	for _, n := range names {
		if err := h.processes.Pause(n); err != nil {
			return err
		}
	}
	time.Sleep(d)
	return processtest.Each(names, func(n string) error { return h.processes.Resume(n) })
}

// Starve gives processes a tenth of the time, in slices of 10 ms, for a time.
func (h *Harness) Starve(d time.Duration, names ...string) error {
	signal := func(s syscall.Signal) {
		for _, n := range names {
			if pid := h.processes.Pid(n); pid != 0 {
				syscall.Kill(pid, s)
			}
		}
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		signal(syscall.SIGSTOP)
		time.Sleep(90 * time.Millisecond)
		signal(syscall.SIGCONT)
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Live are the names of the processes that run.
func (h *Harness) Running() (names []string) {
	for _, n := range h.Names {
		for _, name := range []string{n, UpgradeName(n)} {
			if h.processes.Running(name) {
				names = append(names, name)
			}
		}
	}
	return names
}

// Some draws a share of the running processes that are no seeds, one at least.
func (h *Harness) DrawRunning(share float64) []string {
	live := h.Running()
	var some []string
	for _, i := range h.random.Perm(len(live)) {
		if n := live[i]; n >= h.Names[h.cfg.Seeds] || h.cfg.Seeds == len(h.Names) {
			some = append(some, n)
		}
		if len(some) >= max(1, int(share*float64(len(live)))) {
			break
		}
	}
	return some
}

// Status asks a process for its view and its changes after a number.
func (h *Harness) Status(name string, since uint64) (*membership.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := membership.FetchStatus(ctx, h.address(name, 8001), fmt.Sprintf("members=none&since=%d", since))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return s, nil
}

// answerTime is how long a process may take to tell its view: the machine is full.
const statusTimeout = 3 * time.Second

// collect adds what processes saw since they were last asked to their records, and gives
// their statuses; a process that does not answer has none.
func (h *Harness) collectChanges(names []string) map[string]*membership.Status {
	var mu sync.Mutex
	got := map[string]*membership.Status{}
	processtest.Each(names, func(n string) error {
		h.mu.Lock()
		var since uint64
		for _, incarnation := range h.incarnations {
			if incarnation.processName == n && incarnation.End.IsZero() {
				since = h.records[incarnation.Process].last()
			}
		}
		h.mu.Unlock()
		s, err := h.Status(n, since)
		if err != nil {
			return nil
		}
		h.mu.Lock()
		if r := h.records[s.Process]; r != nil {
			r.add(s.Changes)
		}
		h.mu.Unlock()
		mu.Lock()
		got[n] = s
		mu.Unlock()
		return nil
	})
	return got
}

// Excuse tells the checker that for a time members may rightly be declared dead by others.
func (h *Harness) Exempt(from, to time.Time, pair func(observer, member string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exemptions = append(h.exemptions, Exemption{from, to, pair})
}

// Settle waits until all running processes that take part see exactly each other, and gives
// the time from since on that the last of them took to come to that for good.
func (h *Harness) AwaitConvergence(since time.Time, within time.Duration) (time.Duration, error) {
	var last map[string]*membership.Status
	apart := ""
	err := processtest.Await(within, "all agree", func() bool {
		time.Sleep(max(150, time.Duration(2*h.cfg.Agents)) * time.Millisecond)
		live := slices.DeleteFunc(h.Running(), h.isWithoutMembership)
		last = h.collectChanges(live)
		apart = Disagreement(last, live)
		return apart == ""
	})
	if err != nil {
		return 0, fmt.Errorf("%w: %s%s", err, apart, h.describeDifferences(last))
	}
	var settled time.Time
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range last {
		if at := h.records[s.Process].convergedAt(s.Digest); at.After(settled) {
			settled = at
		}
	}
	return max(0, settled.Sub(since)), nil
}

// present are those that take part among processes that answered, by their own word.
func presentMembers(got map[string]*membership.Status, live []string) (there []membership.Member) {
	for _, n := range live {
		if s := got[n]; s != nil && s.Member {
			there = append(there, membership.Member{Name: s.Self, Process: s.Process, State: membership.Alive})
		}
	}
	return there
}

// differences says, for a few views that are not the fleet as it is, which members they
// have otherwise, and what their processes counted.
func (h *Harness) describeDifferences(got map[string]*membership.Status) string {
	var b strings.Builder
	there := presentMembers(got, slices.Sorted(maps.Keys(got)))
	digest, told := membership.DigestOf(there), 0
	for _, n := range slices.Sorted(maps.Keys(got)) {
		if s := got[n]; !s.Member || s.Digest == digest && s.Suspects == 0 || told >= 3 {
			continue
		}
		told++
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		s, err := membership.FetchStatus(ctx, h.address(n, 8001), "since=4611686018427387904")
		cancel()
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, "\n%s, unchanged for %d ms, counts %v:", n, s.UnchangedMs, s.Traffic)
		for _, m := range there {
			if seen, ok := s.Snapshot.Member(m.Name); !ok || seen.Process != m.Process || seen.State != membership.Alive {
				fmt.Fprintf(&b, " %s/%s seen as %q %s incarnation %d after", m.Name, m.Process, seen.State, seen.Process, seen.Incarnation)
				h.mu.Lock()
				for _, c := range h.records[s.Process].Changes {
					if c.Name == m.Name {
						fmt.Fprintf(&b, " %d: %s %q %d,", c.Number, c.Process, c.To, c.Incarnation)
					}
				}
				h.mu.Unlock()
			}
		}
	}
	return b.String()
}

// Apart says where views differ from each other or from who is there; empty: they agree.
func Disagreement(got map[string]*membership.Status, live []string) string {
	for _, n := range live {
		if got[n] == nil {
			return n + " does not answer"
		}
	}
	there := presentMembers(got, live)
	digest := membership.DigestOf(there)
	apart := 0
	first := ""
	for _, n := range live {
		if s := got[n]; s.Member && (s.Digest != digest || s.Suspects > 0) {
			if apart++; first == "" {
				first = fmt.Sprintf("%s sees %d, suspects %d", n, s.Present, s.Suspects)
			}
		}
	}
	if apart == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d do not see just those that are there, such as: %s", apart, len(there), first)
}
