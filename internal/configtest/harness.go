// Package configtest runs the real list service and real agents on one machine, with a proxy on every
// link between them, puts faults between them while settings change, and judges the merged histories
// of writers, agents and service. The program's tests play its cases at a small size.
package configtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Config says what to run.
type Config struct {
	AgentBinary     string // path of the built agent
	DiscoveryBinary string // path of the built discovery
	Dir             string // for configurations, logs and data
	Agents          int    // agents, 4 at least; every second has a key in its file that the first change lacks
	Seed            uint64 // of all that is drawn
	// Within is how long a change may take from its acknowledgement to in force everywhere.
	Within time.Duration
	// Outage is how long all instances, or a region, are gone; Burst how many changes a burst has.
	Outage time.Duration
	Burst  int
	// Log is told what happens; nil: nobody.
	Log func(format string, args ...any)
}

// service is whose settings the agents take.
const service = "pay"

// settings are the least that agents take, with a key that the first change leaves out. The change's
// mark is what the agents log of settings that they have taken over.
func settings(mark int, cold string) string {
	return fmt.Sprintf(`{"classes":[{"name":"order","aimMs":2000,"giveUpMs":3000,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"askWithinMs":1600,%s"drainGraceMs":250},"failureDomains":["east"],"shapes":["big"],"replicasOfMe":12,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":%d,"maxRetryAfterMs":600},
"membershipMode":"on_request","objectiveMix":{"whole":1},"roundMs":5}`, cold, mark)
}

const slowStartKey = `"coldMs":8000,`

// Lab is a running service of three instances and its agents.
type Harness struct {
	cfg       Config
	Instances []string
	Agents    []string
	discovery *processtest.Cluster // its links are those of the agents too
	agents    *processtest.Cluster
	random    *rand.Rand
	client    *http.Client

	mu         sync.Mutex
	lastMarker int
	history    History
	kills      map[string][]time.Time // of each agent
	// pausedNow is the instance that is paused; "": none.
	pausedInstance string
}

// New starts the service and the agents, and returns once a write would be taken; the error says what
// could not be started.
func New(cfg Config) (*Harness, error) {
	if cfg.Agents < 4 || cfg.Within <= 0 || cfg.Burst < 1 {
		return nil, fmt.Errorf("configlab: %d agents, %d changes in a burst, within %v: want 4, 1 and above 0", cfg.Agents, cfg.Burst, cfg.Within)
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	h := &Harness{cfg: cfg, Instances: []string{"n1", "n2", "n3"}, random: rand.New(rand.NewPCG(cfg.Seed, 1)), lastMarker: 1000,
		client: &http.Client{Timeout: 7 * time.Second}, kills: map[string][]time.Time{}}
	for i := range cfg.Agents {
		h.Agents = append(h.Agents, fmt.Sprintf("pay-%03d", i))
	}
	var err error
	if h.discovery, err = processtest.New(processtest.Config{Binary: cfg.DiscoveryBinary, Dir: cfg.Dir, Names: h.Instances,
		Ports: []string{"raft", "http", "admin"}, Args: func(c *processtest.Cluster, name string) []string {
			return []string{"serve", "--config", filepath.Join(cfg.Dir, name+".toml")}
		}}); err != nil {
		return nil, err
	}
	if h.agents, err = processtest.New(processtest.Config{Binary: cfg.AgentBinary, Dir: cfg.Dir, Names: h.Agents, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(cfg.Dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + cfg.Dir}
	}}); err != nil {
		return nil, err
	}
	for i, name := range h.Instances {
		if err == nil {
			err = h.configureInstance(name, i == 0)
		}
	}
	for i, name := range h.Agents {
		if err == nil {
			err = h.configureAgent(name, i)
		}
	}
	if err == nil {
		err = errors.Join(processtest.Each(h.Instances, h.discovery.Start), processtest.Each(h.Agents, h.agents.Start))
	}
	if err == nil {
		err = processtest.Await(30*time.Second, "a leader", func() bool { return h.leader() != "" })
	}
	if err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// Close ends all that the lab has started.
func (h *Harness) Close() {
	h.agents.Close()
	h.discovery.Close()
}

func (h *Harness) configureInstance(name string, founds bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "id = %q\ndata_dir = %q\nraft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\nadmin_addr = \"fd:5\"\nbootstrap = %v\nmax_stale = \"1s\"\n",
		name, filepath.Join(h.cfg.Dir, name), founds)
	for _, name := range h.Instances {
		if name == name {
			continue
		}
		link, err := h.discovery.Link(name, name, "raft")
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", name, link.Addr(), h.discovery.Addr(name, "admin"))
	}
	return os.WriteFile(filepath.Join(h.cfg.Dir, name+".toml"), []byte(b.String()), 0o644)
}

func (h *Harness) configureAgent(name string, i int) error {
	var addrs []string
	for _, to := range h.Instances {
		link, err := h.discovery.Link(name, to, "http")
		if err != nil {
			return err
		}
		addrs = append(addrs, link.Addr())
	}
	own := ""
	if i%2 == 1 {
		own = slowStartKey
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": addrs[0], "seed": fmt.Sprintf("%x", i+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": map[string]any{"version": 0, "servers": []any{}},
		"control":  map[string]any{"service": service, "addresses": addrs[1:]},
		"settings": json.RawMessage(strings.Replace(settings(3, own), "{", fmt.Sprintf(`{"index":%d,"zone":0,`, i), 1))})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(h.cfg.Dir, name+".json"), text, 0o644)
}

// ask makes one call at an instance's admin door, and reads its answer into out if it is 200.
func (h *Harness) callAdmin(instance, method, path, body string, out any) error {
	req, err := http.NewRequest(method, "http://"+h.discovery.Addr(instance, "admin")+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("configlab: %s answered %d to %s %s", instance, resp.StatusCode, method, path)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// leader is the instance that leads by its own word, of those that are not paused, and "" if none does.
func (h *Harness) leader() string {
	h.mu.Lock()
	paused := h.pausedInstance
	h.mu.Unlock()
	for _, name := range h.Instances {
		if name == paused {
			continue
		}
		var st server.Status
		if h.discovery.Running(name) && h.callAdmin(name, "GET", "/v1/status", "", &st) == nil && st.State == "Leader" {
			return name
		}
	}
	return ""
}

// hung is the follower on which the most agents hang, or the leader where all hang on that, and how many
// those are: an agent hangs on the instance that heard it last, once it has called again. (An instance that
// was paused hears what was sent to it meanwhile.) The error tells that not all have called within 20 s.
func (h *Harness) busiestInstance() (instance string, agents int, err error) {
	from, on := time.Now(), map[string]int{}
	err = processtest.Await(20*time.Second, "calls of all agents", func() bool {
		told := h.agentReports()
		for _, a := range told {
			if a.SilentMs >= time.Since(from).Milliseconds() {
				return false
			}
		}
		for _, a := range told {
			on[a.instance]++
		}
		return true
	})
	lead := h.leader()
	for _, name := range h.Instances {
		if n := on[name]; n > 0 && (n > agents && name != lead || instance == lead || agents == 0) {
			instance, agents = name, n
		}
	}
	return instance, agents, err
}

// follower is an instance that runs and does not lead, drawn.
func (h *Harness) drawFollower() (string, error) {
	err := processtest.Await(20*time.Second, "a leader", func() bool { return h.leader() != "" })
	lead := h.leader()
	others := slices.DeleteFunc(slices.Clone(h.Instances), func(n string) bool { return n == lead })
	return others[h.random.IntN(len(others))], err
}

// Change writes settings of a mark of their own until they are acknowledged, at the given instances in
// turn, and notes it; the error is that this took longer than 30 s. It is safe for concurrent use.
func (h *Harness) Change(text func(mark int) string, at ...string) (Write, error) {
	h.mu.Lock()
	h.lastMarker++
	w := Write{Marker: h.lastMarker}
	h.mu.Unlock()
	var err error
	for end, try := time.Now().Add(30*time.Second), 0; time.Now().Before(end); try++ {
		var got struct{ Version uint64 }
		if err = h.callAdmin(at[try%len(at)], "PUT", "/v1/settings/"+service, text(w.Marker), &got); err == nil {
			w.Version, w.AckedAt = got.Version, time.Now()
			h.mu.Lock()
			h.history.Writes = append(h.history.Writes, w)
			h.mu.Unlock()
			return w, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return w, fmt.Errorf("configlab: change %d not acknowledged in 30 s: %w", w.Marker, err)
}

// good is a change that all agents take.
func validSettings(mark int) string { return settings(mark, slowStartKey) }

// excuse notes that agents (none: all) reach nobody who knows more, from a time until now.
func (h *Harness) exempt(from time.Time, agents ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history.Exemptions = append(h.history.Exemptions, Exemption{From: from, To: time.Now(), Agents: agents})
}

// restart kills an agent and starts it again.
func (h *Harness) restart(agent string) error {
	h.mu.Lock()
	h.kills[agent] = append(h.kills[agent], time.Now())
	h.mu.Unlock()
	return h.agents.Restart(agent)
}

var (
	logLine     = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("(?:[^"\\]|\\.)*"|\S+)(.*)$`)
	numberField = regexp.MustCompile(` (version|max_attempts)=(\d+)`)
	errorField  = regexp.MustCompile(` err=("(?:[^"\\]|\\.)*"|\S+)`)
)

// entry is a line of an agent's log.
type logEntry struct {
	at           time.Time
	message, err string
	numbers      map[string]uint64
}

// readLog reads an agent's log, all its processes', leaving out what is no whole line of it.
func (h *Harness) readLog(agent string) (out []logEntry, err error) {
	text, err := os.ReadFile(filepath.Join(h.cfg.Dir, agent+".log"))
	if err != nil {
		return nil, err
	}
	for s := bufio.NewScanner(bytes.NewReader(text)); s.Scan(); {
		m := logLine.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		e := logEntry{message: strings.Trim(m[2], `"`), numbers: map[string]uint64{}}
		if e.at, err = time.Parse(time.RFC3339Nano, m[1]); err != nil {
			return nil, err
		}
		for _, f := range numberField.FindAllStringSubmatch(m[3], -1) {
			e.numbers[f[1]], _ = strconv.ParseUint(f[2], 10, 64)
		}
		if f := errorField.FindStringSubmatch(m[3]); f != nil {
			e.err = f[1]
		}
		out = append(out, e)
	}
	return out, nil
}

// lives are an agent's processes as its log tells them, with the ends that the lab made.
func (h *Harness) incarnations(agent string) (out []*ProcessIncarnation, err error) {
	entries, err := h.readLog(agent)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	kills := slices.Clone(h.kills[agent])
	h.mu.Unlock()
	for _, e := range entries {
		if e.message == "listening" {
			if n := len(out); n > 0 && n <= len(kills) {
				out[n-1].To = kills[n-1]
			}
			out = append(out, &ProcessIncarnation{Agent: agent, From: e.at})
		}
		if len(out) == 0 {
			continue
		}
		own := out[len(out)-1]
		switch version, ok := e.numbers["version"]; {
		case ok && e.message == "settings taken over":
			own.Observations = append(own.Observations, Observation{At: e.at, Version: version, Marker: int(e.numbers["max_attempts"])})
		case ok && strings.HasPrefix(e.message, "settings refused"):
			own.Observations = append(own.Observations, Observation{At: e.at, Version: version, Refused: true, Reason: e.err})
		}
	}
	return out, nil
}

// seen is all that was seen and done so far, but for the service's own history.
func (h *Harness) observed() (*History, error) {
	h.mu.Lock()
	history := &History{Writes: slices.Clone(h.history.Writes), Exemptions: slices.Clone(h.history.Exemptions)}
	h.mu.Unlock()
	for _, agent := range h.Agents {
		lives, err := h.incarnations(agent)
		if err != nil {
			return nil, err
		}
		history.Incarnations = append(history.Incarnations, lives...)
	}
	return history, nil
}

// History is all that was seen and done so far.
func (h *Harness) History() (*History, error) {
	history, err := h.observed()
	if err != nil {
		return nil, err
	}
	var kept []server.SettingsVersion
	path := "/v1/settings/" + service
	err = h.atLeader(func(instance string) error { return h.callAdmin(instance, "GET", path+"/history", "", &kept) })
	for _, k := range kept {
		var whole server.SettingsVersion
		if err == nil {
			err = h.atLeader(func(instance string) error {
				return h.callAdmin(instance, "GET", fmt.Sprintf("%s?version=%d", path, k.Version), "", &whole)
			})
		}
		var s struct{ Limits struct{ MaxAttempts int } }
		if err == nil {
			err = json.Unmarshal([]byte(whole.Text), &s)
		}
		history.Stored = append(history.Stored, StoredVersion{k.Version, s.Limits.MaxAttempts})
	}
	return history, err
}

// somewhere does something at the leader, or, until there is one and for 20 s, tries again.
func (h *Harness) atLeader(do func(instance string) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		err := errors.New("configlab: no leader")
		if lead := h.leader(); lead != "" {
			err = do(lead)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
