package experiment

import (
	"context"
	"debug/buildinfo"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Config is how a lab plays a scenario.
type Config struct {
	Scenario *Scenario
	Binary   string // the built agent, for arms without a commit
	Repo     string // the checkout from which commits are built; empty: none can be
	Dir      string // for configurations, logs and builds
	// Progress is told what happens; nil: nobody.
	Progress func(format string, args ...any)
	// Done is called with each run as it ends.
	Done func(*Record) error
}

// Record is one run: an arm on a seed.
type Record struct {
	Scenario   string           `json:"scenario"`
	Arm        string           `json:"arm"`
	Seed       uint64           `json:"seed"`
	Commit     string           `json:"commit"` // of the agents' program, as far as it is known
	Machine    string           `json:"machine"`
	Length     time.Duration    `json:"length_ns"`
	Counts     bool             `json:"counts"` // false: the lab failed or was late, see Result.Faults
	Result     *emulator.Result `json:"result"`
	AgentsCPU  float64          `json:"agents_cpu_s"`
	LabCPU     float64          `json:"lab_cpu_s"`
	AgentFault string           `json:"agent_fault,omitempty"` // an agent that ended by itself
	// Views are, for each second, how many agents the asked ones saw, at least and at most; empty
	// without a fleet.
	Views [][2]int `json:"views,omitempty"`
}

// Play plays all arms on all seeds, the arms of a seed in turn, another first on each seed.
func Play(ctx context.Context, cfg Config) error {
	if cfg.Progress == nil {
		cfg.Progress = func(string, ...any) {}
	}
	if err := cfg.Scenario.fits(); err != nil {
		return err
	}
	s := cfg.Scenario
	programs := map[string]string{}
	for _, a := range s.Arms {
		if programs[a.Commit] == "" {
			program, err := cfg.program(a.Commit)
			if err != nil {
				return err
			}
			programs[a.Commit] = program
		}
	}
	for n := range s.Seeds {
		for i := range s.Arms {
			a := s.Arms[(i+n)%len(s.Arms)]
			seed := s.Seed + uint64(n)
			cfg.Progress("seed %d (%d of %d), arm %q", seed, n+1, s.Seeds, a.Name)
			rec, err := cfg.one(ctx, a, programs[a.Commit], seed)
			if err != nil {
				return fmt.Errorf("arm %q, seed %d: %w", a.Name, seed, err)
			}
			if err := cfg.Done(rec); err != nil {
				return err
			}
		}
	}
	return nil
}

// fits refuses a scenario that this machine is too small for, and says what it takes.
func (s *Scenario) fits() error {
	cpus := float64(runtime.NumCPU())
	// By docs/LAB.md: an agent takes some 12 MB and, idle, 0.1 % of a processor; a request 1 ms in all.
	need := s.rate()*1.0/1000 + float64(s.Fleet.Agents)*0.001 + 0.5
	if need > cpus {
		return fmt.Errorf("%d agents and %.0f requests a second take some %.1f processors, and %.0f are here", s.Fleet.Agents, s.rate(), need, cpus)
	}
	if mb, free := s.Fleet.Agents*14+s.Fleet.Nodes*4+200, processtest.FreeMB(); mb > free {
		return fmt.Errorf("%d agents and %d nodes take some %d MB, and %d MB are free", s.Fleet.Agents, s.Fleet.Nodes, mb, free)
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	// At most agents keep one connection to each node, and few more to their list and clients.
	fds := uint64(200 + s.Fleet.Nodes*len(s.Fleet.Zones)*2 + s.Fleet.Agents*(8+s.Fleet.Nodes))
	if fds > lim.Max {
		return fmt.Errorf("%d agents and %d nodes take some %d descriptors, and %d are allowed", s.Fleet.Agents, s.Fleet.Nodes, fds, lim.Max)
	}
	if lim.Cur < fds {
		lim.Cur = fds
		return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lim)
	}
	return nil
}

// program is the agent that a commit builds, or the one given.
func (cfg *Config) program(commit string) (string, error) {
	if commit == "" {
		return filepath.Abs(cfg.Binary)
	}
	if cfg.Repo == "" {
		return "", errors.New("no checkout is known from which a commit could be built")
	}
	cfg.Progress("building %s", commit)
	src := filepath.Join(cfg.Dir, "src-"+commit)
	if err := os.MkdirAll(src, 0o755); err != nil {
		return "", err
	}
	pack := exec.Command("git", "-C", cfg.Repo, "archive", commit)
	unpack := exec.Command("tar", "-x", "-C", src)
	pipe, err := pack.StdoutPipe()
	if err != nil {
		return "", err
	}
	unpack.Stdin = pipe
	if err := unpack.Start(); err != nil {
		return "", err
	}
	if err := errors.Join(pack.Run(), unpack.Wait()); err != nil {
		return "", fmt.Errorf("commit %s: %w", commit, err)
	}
	out := filepath.Join(cfg.Dir, "agent-"+commit)
	build := exec.Command("go", "build", "-o", out, agentPackage(src))
	build.Dir = src
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("commit %s: %w\n%s", commit, err, text)
	}
	return out, nil
}

// agentPackage is the package of the agent's program in a checkout; it had another name in earlier versions.
func agentPackage(checkout string) string {
	const present, earlier = "./cmd/agent", "./cmd/ringtrack"
	if _, err := os.Stat(filepath.Join(checkout, earlier)); err == nil {
		return earlier
	}
	return present
}

// run is one arm on one seed.
type run struct {
	s     *Scenario
	w     *emulator.Emulator
	wcfg  emulator.Config
	arm   Arm
	board *faultproxy.Board // nil: the agents do not talk
	procs *processtest.Cluster
	names []string
	index map[string]int
	over  chan struct{} // closed when the traffic is over
}

func (cfg *Config) one(ctx context.Context, a Arm, program string, seed uint64) (*Record, error) {
	s := cfg.Scenario
	dir, err := os.MkdirTemp(cfg.Dir, "run")
	if err != nil {
		return nil, err
	}
	r := &run{s: s, wcfg: s.world(seed), arm: a, index: map[string]int{}, over: make(chan struct{})}
	if r.w, err = emulator.New(r.wcfg); err != nil {
		return nil, err
	}
	defer r.w.Close()
	self, children := cpu(syscall.RUSAGE_SELF), cpu(syscall.RUSAGE_CHILDREN)
	if err := r.prepare(dir, program, seed); err != nil {
		return nil, err
	}
	if r.board != nil {
		defer r.board.Close()
	}
	defer r.procs.Close()
	if err := processtest.Each(r.names, r.start); err != nil {
		return nil, err
	}
	if r.board != nil { // joining is no part of the traffic's time
		if err := processtest.Await(time.Minute, "all agents see each other", r.settled); err != nil {
			return nil, err
		}
	}
	var troubles sync.WaitGroup
	faults := make(chan error, len(s.Troubles))
	var changes []emulator.TrafficChange
	for i, t := range s.Troubles {
		if k := kinds[t.Kind]; k.traffic != nil {
			changes = append(changes, k.traffic(t))
			continue
		}
		// Each has draws of its own, so that what it meets does not hang on the others' times.
		draw := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			r.hold(t.At)
			if err := kinds[t.Kind].play(r, t, draw); err != nil {
				faults <- fmt.Errorf("%s: %w", t.Kind, err)
			}
		}()
	}
	r.w.SetTrafficChanges(changes...)
	stop := context.AfterFunc(ctx, func() {
		r.w.Stop()
		r.procs.Close()
	})
	rec := &Record{Scenario: s.Name, Arm: a.Name, Seed: seed, Commit: Revision(a.Commit, program, cfg.Repo), Machine: machine(), Length: s.Length}
	if r.board != nil {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			rec.Views = r.views()
		}()
	}
	res := r.w.Run(s.Length)
	rec.Result = res
	stop()
	close(r.over)
	troubles.Wait()
	close(faults)
	if ctx.Err() != nil {
		return nil, errors.New("interrupted")
	}
	for err := range faults {
		res.Errors = append(res.Errors, err.Error())
	}
	for _, n := range r.names {
		if !r.procs.Running(n) {
			rec.AgentFault = n + " ended by itself"
		}
	}
	r.procs.Close()
	rec.LabCPU, rec.AgentsCPU = cpu(syscall.RUSAGE_SELF)-self, cpu(syscall.RUSAGE_CHILDREN)-children
	rec.Counts = len(res.Errors) == 0
	return rec, nil
}

// Revision is the commit of a program: the one it was built from here, what it says itself, or
// that of the checkout; "-dirty" is after it where the tree was changed, "unknown" where nothing says.
func Revision(commit, program, repo string) string {
	if commit != "" {
		return commit
	}
	if info, err := buildinfo.ReadFile(program); err == nil {
		dirty := ""
		if slices.ContainsFunc(info.Settings, func(s debug.BuildSetting) bool { return s.Key == "vcs.modified" && s.Value == "true" }) {
			dirty = "-dirty"
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)] + dirty
			}
		}
	}
	if out, err := exec.Command("git", "-C", repo, "describe", "--always", "--dirty").Output(); err == nil && repo != "" {
		return strings.TrimSpace(string(out))
	}
	return "unknown"
}

// asked is how many agents are asked for their views each second.
const asked = 8

// views asks some agents each second how many they see, until the run is over.
func (r *run) views() (out [][2]int) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-r.over:
			return out
		}
		seen := [2]int{}
		for i := range min(asked, len(r.names)) {
			n := r.sees(r.names[i*len(r.names)/asked%len(r.names)])
			if n == 0 {
				continue // it is down, or stands still
			}
			if seen[0] == 0 || n < seen[0] {
				seen[0] = n
			}
			seen[1] = max(seen[1], n)
		}
		out = append(out, seen)
	}
}

// sees is how many agents an agent sees now; 0: it does not say.
func (r *run) sees(name string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	s, err := membership.Ask(ctx, r.w.Address(r.index[name], emulator.AdminPort), "members=none&since=4611686018427387904")
	if err != nil {
		return 0
	}
	return s.Present
}

// settled tells whether all agents see all.
func (r *run) settled() bool {
	time.Sleep(100 * time.Millisecond)
	return !slices.ContainsFunc(r.names, func(n string) bool { return r.sees(n) != len(r.names) })
}

// cpu is the processor time of this process, or of its children that have ended, in seconds.
func cpu(who int) float64 {
	var u syscall.Rusage
	if syscall.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func machine() string {
	return fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}

// prepare writes the agents' configurations.
func (r *run) prepare(dir, program string, seed uint64) (err error) {
	var seeds []string
	places := map[string][2]string{}
	if r.arm.Fleet {
		if r.board, err = faultproxy.New(seed); err != nil {
			return err
		}
	}
	for i, a := range r.wcfg.Agents {
		r.names = append(r.names, a.Name)
		r.index[a.Name] = i
		if r.board != nil {
			bind, advertise, err := r.board.Add(a.Name)
			if err != nil {
				return err
			}
			places[a.Name] = [2]string{bind, advertise}
			if len(seeds) < 3 {
				seeds = append(seeds, advertise)
			}
		}
	}
	for i, a := range r.wcfg.Agents {
		c := r.config(i, a, seed)
		if p, ok := places[a.Name]; ok {
			c["fleet"] = map[string]any{"bind": p[0], "advertise": p[1], "seeds": seeds, "site": "lab",
				"zone": r.s.Fleet.Zones[a.Zone], "networks": []string{"127.0.0.0/8"}}
		}
		overlay(c, r.arm.Config)
		text, err := json.Marshal(c)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, a.Name+".json"), text, 0o600); err != nil {
			return err
		}
	}
	r.procs, err = processtest.New(processtest.Config{Binary: program, Dir: dir, Names: r.names, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + dir}
	}})
	return err
}

// overlay lays a table over another, key by key.
func overlay(under, over map[string]any) {
	for k, v := range over {
		if table, ok := v.(map[string]any); ok {
			if old, ok := under[k].(map[string]any); ok {
				overlay(old, table)
				continue
			}
		}
		under[k] = v
	}
}

// config is an agent's configuration (DEPLOY, "What an agent is told"; WIRE, "Start-up parameters").
func (r *run) config(i int, a emulator.Agent, seed uint64) map[string]any {
	return map[string]any{"name": a.Name, "listen": r.w.Address(i, emulator.ListenPort), "management": r.w.Address(i, emulator.AdminPort),
		"discovery": r.w.Address(i, emulator.DiscoveryPort), "seed": strconv.FormatUint(seed*1000+uint64(i), 16),
		"limits": r.s.Limits(), "known": r.w.InitialList(a.Name), "settings": r.s.Settings(i, a.Zone, len(r.wcfg.Agents))}
}

// Limits are what an agent may take, as its configuration tells it.
func (s *Scenario) Limits() map[string]any {
	return map[string]any{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets}
}

// Settings are those of the deployment for the index-th of so many agents, in a zone by its index.
func (s *Scenario) Settings(index, zone, agents int) map[string]any {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	var classes, shapes []any
	for _, k := range s.Classes {
		group, key := k.DedupScope, ms(k.DedupWindow)
		if group == "" {
			group, key = "all", 5000
		}
		classes = append(classes, map[string]any{"name": k.Name, "aimMs": ms(k.LatencyObjective), "giveUpMs": ms(k.TotalTimeout), "credit": k.PriorityWeight, "effect": k.Idempotency,
			"group": group, "keyTtlMs": key, "lateShare": k.LateFraction, "streamed": false})
	}
	warm := false
	for _, m := range s.Models {
		shapes = append(shapes, m.Kind)
		warm = warm || m.CacheSaving > 0
	}
	return map[string]any{"classes": classes, "clients": map[string]any{"marksRetry": true},
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": s.Rules.ColdFrom, "coldMs": ms(s.Rules.ColdFor),
			"drainGraceMs": ms(s.Rules.DrainGrace), "fallMultiple": s.Rules.FallMultiple, "tipAfterMs": ms(s.Rules.FallIn)},
		"failureDomains": s.Fleet.Zones, "family": "mesh", "familyInfo": map[string]any{"warmKeys": warm}, "index": index,
		"limits": map[string]any{"cancelling": true, "connectTimeoutMs": 250, "keepaliveMs": ms(keepAlive), "maxAttempts": 5,
			"maxRetryAfterMs": 1500, "openCap": 20000, "parallelTries": false, "probing": true, "retryAfter": false},
		"membershipMode": "pushed", "objectiveMix": map[string]any{"whole": 0.6, "worstClass": 0.35, "worstWindow": 0.05},
		"prices":       map[string]any{"crossZone": 0.03, "lateFail": 0.05, "probe": 0.0082, "waste": 0.032},
		"replicasOfMe": agents, "roundMs": 5, "shapes": shapes, "weights": "nominal", "worthBy": "work", "zone": zone}
}

// start starts an agent and waits until it is ready.
func (r *run) start(name string) error {
	if err := r.procs.Start(name); err != nil {
		return err
	}
	r.w.AgentStarted(name)
	url := "http://" + r.w.Address(r.index[name], emulator.ListenPort) + "/-/ready"
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	return processtest.Await(30*time.Second, name+" is ready", func() bool {
		resp, err := client.Get(url)
		if err != nil {
			select {
			case <-r.over:
				return true // nobody waits for it any more
			default:
				return false
			}
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Figures are a record's figures with what the processes took.
func (rec *Record) Figures() map[string]float64 {
	out := maps.Clone(rec.Result.Metrics)
	out["agents' CPU s"], out["lab's CPU s"] = rec.AgentsCPU, rec.LabCPU
	out["rules broken"] = float64(len(rec.Result.Violations))
	return out
}
