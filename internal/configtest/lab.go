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
	Agent   string // path of the built agent
	Service string // path of the built discovery
	Dir     string // for configurations, logs and data
	N       int    // agents, 4 at least; every second has a key in its file that the first change lacks
	Seed    uint64 // of all that is drawn
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

const cold = `"coldMs":8000,`

// Lab is a running service of three instances and its agents.
type Lab struct {
	cfg       Config
	Instances []string
	Agents    []string
	svc       *processtest.Cluster // its links are those of the agents too
	agents    *processtest.Cluster
	draw      *rand.Rand
	client    *http.Client

	mu    sync.Mutex
	mark  int
	hist  History
	kills map[string][]time.Time // of each agent
	// pausedNow is the instance that is paused; "": none.
	pausedNow string
}

// New starts the service and the agents, and returns once a write would be taken; the error says what
// could not be started.
func New(cfg Config) (*Lab, error) {
	if cfg.N < 4 || cfg.Within <= 0 || cfg.Burst < 1 {
		return nil, fmt.Errorf("configlab: %d agents, %d changes in a burst, within %v: want 4, 1 and above 0", cfg.N, cfg.Burst, cfg.Within)
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	l := &Lab{cfg: cfg, Instances: []string{"n1", "n2", "n3"}, draw: rand.New(rand.NewPCG(cfg.Seed, 1)), mark: 1000,
		client: &http.Client{Timeout: 7 * time.Second}, kills: map[string][]time.Time{}}
	for i := range cfg.N {
		l.Agents = append(l.Agents, fmt.Sprintf("pay-%03d", i))
	}
	var err error
	if l.svc, err = processtest.New(processtest.Config{Binary: cfg.Service, Dir: cfg.Dir, Names: l.Instances,
		Ports: []string{"raft", "http", "admin"}, Args: func(c *processtest.Cluster, name string) []string {
			return []string{"serve", "--config", filepath.Join(cfg.Dir, name+".toml")}
		}}); err != nil {
		return nil, err
	}
	if l.agents, err = processtest.New(processtest.Config{Binary: cfg.Agent, Dir: cfg.Dir, Names: l.Agents, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(cfg.Dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + cfg.Dir}
	}}); err != nil {
		return nil, err
	}
	for i, name := range l.Instances {
		if err == nil {
			err = l.configureInstance(name, i == 0)
		}
	}
	for i, name := range l.Agents {
		if err == nil {
			err = l.configureAgent(name, i)
		}
	}
	if err == nil {
		err = errors.Join(processtest.Each(l.Instances, l.svc.Start), processtest.Each(l.Agents, l.agents.Start))
	}
	if err == nil {
		err = processtest.Await(30*time.Second, "a leader", func() bool { return l.leader() != "" })
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close ends all that the lab has started.
func (l *Lab) Close() {
	l.agents.Close()
	l.svc.Close()
}

func (l *Lab) configureInstance(name string, founds bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "id = %q\ndata_dir = %q\nraft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\nadmin_addr = \"fd:5\"\nbootstrap = %v\nmax_stale = \"1s\"\n",
		name, filepath.Join(l.cfg.Dir, name), founds)
	for _, p := range l.Instances {
		if p == name {
			continue
		}
		link, err := l.svc.Link(name, p, "raft")
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", p, link.Addr(), l.svc.Addr(p, "admin"))
	}
	return os.WriteFile(filepath.Join(l.cfg.Dir, name+".toml"), []byte(b.String()), 0o644)
}

func (l *Lab) configureAgent(name string, i int) error {
	var addrs []string
	for _, to := range l.Instances {
		link, err := l.svc.Link(name, to, "http")
		if err != nil {
			return err
		}
		addrs = append(addrs, link.Addr())
	}
	own := ""
	if i%2 == 1 {
		own = cold
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": "127.0.0.1:0", "discovery": addrs[0], "seed": fmt.Sprintf("%x", i+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": map[string]any{"version": 0, "servers": []any{}},
		"control":  map[string]any{"service": service, "addresses": addrs[1:]},
		"settings": json.RawMessage(strings.Replace(settings(3, own), "{", fmt.Sprintf(`{"index":%d,"zone":0,`, i), 1))})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(l.cfg.Dir, name+".json"), text, 0o644)
}

// ask makes one call at an instance's admin door, and reads its answer into out if it is 200.
func (l *Lab) ask(instance, method, path, body string, out any) error {
	req, err := http.NewRequest(method, "http://"+l.svc.Addr(instance, "admin")+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := l.client.Do(req)
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
func (l *Lab) leader() string {
	l.mu.Lock()
	paused := l.pausedNow
	l.mu.Unlock()
	for _, name := range l.Instances {
		if name == paused {
			continue
		}
		var st server.Status
		if l.svc.Running(name) && l.ask(name, "GET", "/v1/status", "", &st) == nil && st.State == "Leader" {
			return name
		}
	}
	return ""
}

// hung is the follower on which the most agents hang, or the leader where all hang on that, and how many
// those are: an agent hangs on the instance that heard it last, once it has called again. (An instance that
// was paused hears what was sent to it meanwhile.) The error tells that not all have called within 20 s.
func (l *Lab) hung() (instance string, agents int, err error) {
	from, on := time.Now(), map[string]int{}
	err = processtest.Await(20*time.Second, "calls of all agents", func() bool {
		told := l.heard()
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
	lead := l.leader()
	for _, name := range l.Instances {
		if n := on[name]; n > 0 && (n > agents && name != lead || instance == lead || agents == 0) {
			instance, agents = name, n
		}
	}
	return instance, agents, err
}

// follower is an instance that runs and does not lead, drawn.
func (l *Lab) follower() (string, error) {
	err := processtest.Await(20*time.Second, "a leader", func() bool { return l.leader() != "" })
	lead := l.leader()
	others := slices.DeleteFunc(slices.Clone(l.Instances), func(n string) bool { return n == lead })
	return others[l.draw.IntN(len(others))], err
}

// Change writes settings of a mark of their own until they are acknowledged, at the given instances in
// turn, and notes it; the error is that this took longer than 30 s. It is safe for concurrent use.
func (l *Lab) Change(text func(mark int) string, at ...string) (Write, error) {
	l.mu.Lock()
	l.mark++
	w := Write{Mark: l.mark}
	l.mu.Unlock()
	var err error
	for end, try := time.Now().Add(30*time.Second), 0; time.Now().Before(end); try++ {
		var got struct{ Version uint64 }
		if err = l.ask(at[try%len(at)], "PUT", "/v1/settings/"+service, text(w.Mark), &got); err == nil {
			w.Version, w.Acked = got.Version, time.Now()
			l.mu.Lock()
			l.hist.Writes = append(l.hist.Writes, w)
			l.mu.Unlock()
			return w, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return w, fmt.Errorf("configlab: change %d not acknowledged in 30 s: %w", w.Mark, err)
}

// good is a change that all agents take.
func good(mark int) string { return settings(mark, cold) }

// excuse notes that agents (none: all) reach nobody who knows more, from a time until now.
func (l *Lab) excuse(from time.Time, agents ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hist.Excuses = append(l.hist.Excuses, Excuse{From: from, To: time.Now(), Agents: agents})
}

// restart kills an agent and starts it again.
func (l *Lab) restart(agent string) error {
	l.mu.Lock()
	l.kills[agent] = append(l.kills[agent], time.Now())
	l.mu.Unlock()
	return l.agents.Restart(agent)
}

var (
	line     = regexp.MustCompile(`^time=(\S+) level=\S+ msg=("(?:[^"\\]|\\.)*"|\S+)(.*)$`)
	field    = regexp.MustCompile(` (version|max_attempts)=(\d+)`)
	errField = regexp.MustCompile(` err=("(?:[^"\\]|\\.)*"|\S+)`)
)

// entry is a line of an agent's log.
type entry struct {
	at       time.Time
	msg, err string
	nums     map[string]uint64
}

// readLog reads an agent's log, all its processes', leaving out what is no whole line of it.
func (l *Lab) readLog(agent string) (out []entry, err error) {
	text, err := os.ReadFile(filepath.Join(l.cfg.Dir, agent+".log"))
	if err != nil {
		return nil, err
	}
	for s := bufio.NewScanner(bytes.NewReader(text)); s.Scan(); {
		m := line.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		e := entry{msg: strings.Trim(m[2], `"`), nums: map[string]uint64{}}
		if e.at, err = time.Parse(time.RFC3339Nano, m[1]); err != nil {
			return nil, err
		}
		for _, f := range field.FindAllStringSubmatch(m[3], -1) {
			e.nums[f[1]], _ = strconv.ParseUint(f[2], 10, 64)
		}
		if f := errField.FindStringSubmatch(m[3]); f != nil {
			e.err = f[1]
		}
		out = append(out, e)
	}
	return out, nil
}

// lives are an agent's processes as its log tells them, with the ends that the lab made.
func (l *Lab) lives(agent string) (out []*Life, err error) {
	entries, err := l.readLog(agent)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	kills := slices.Clone(l.kills[agent])
	l.mu.Unlock()
	for _, e := range entries {
		if e.msg == "listening" {
			if n := len(out); n > 0 && n <= len(kills) {
				out[n-1].To = kills[n-1]
			}
			out = append(out, &Life{Agent: agent, From: e.at})
		}
		if len(out) == 0 {
			continue
		}
		own := out[len(out)-1]
		switch version, ok := e.nums["version"]; {
		case ok && e.msg == "settings applied":
			own.Seen = append(own.Seen, Seen{At: e.at, Version: version, Mark: int(e.nums["max_attempts"])})
		case ok && strings.HasPrefix(e.msg, "settings rejected"):
			own.Seen = append(own.Seen, Seen{At: e.at, Version: version, Refused: true, Why: e.err})
		}
	}
	return out, nil
}

// seen is all that was seen and done so far, but for the service's own history.
func (l *Lab) seen() (*History, error) {
	l.mu.Lock()
	h := &History{Writes: slices.Clone(l.hist.Writes), Excuses: slices.Clone(l.hist.Excuses)}
	l.mu.Unlock()
	for _, agent := range l.Agents {
		lives, err := l.lives(agent)
		if err != nil {
			return nil, err
		}
		h.Lives = append(h.Lives, lives...)
	}
	return h, nil
}

// History is all that was seen and done so far.
func (l *Lab) History() (*History, error) {
	h, err := l.seen()
	if err != nil {
		return nil, err
	}
	var kept []server.SettingsVersion
	path := "/v1/settings/" + service
	err = l.somewhere(func(instance string) error { return l.ask(instance, "GET", path+"/history", "", &kept) })
	for _, k := range kept {
		var whole server.SettingsVersion
		if err == nil {
			err = l.somewhere(func(instance string) error {
				return l.ask(instance, "GET", fmt.Sprintf("%s?version=%d", path, k.Version), "", &whole)
			})
		}
		var s struct{ Limits struct{ MaxAttempts int } }
		if err == nil {
			err = json.Unmarshal([]byte(whole.Text), &s)
		}
		h.Kept = append(h.Kept, Kept{k.Version, s.Limits.MaxAttempts})
	}
	return h, err
}

// somewhere does something at the leader, or, until there is one and for 20 s, tries again.
func (l *Lab) somewhere(do func(instance string) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		err := errors.New("configlab: no leader")
		if lead := l.leader(); lead != "" {
			err = do(lead)
		}
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
