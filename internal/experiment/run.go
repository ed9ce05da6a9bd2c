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
	Scenario   *Scenario
	Binary     string // the built agent, for arms without a commit
	Repository string // the checkout from which commits are built; empty: none can be
	Dir        string // for configurations, logs and builds
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
	Valid      bool             `json:"counts"` // false: the lab failed or was late, see Result.Faults
	Result     *emulator.Result `json:"result"`
	AgentsCPU  float64          `json:"agents_cpu_s"`
	HarnessCPU float64          `json:"lab_cpu_s"`
	AgentError string           `json:"agent_fault,omitempty"` // an agent that ended by itself
	// Views are, for each second, how many agents the asked ones saw, at least and at most; empty
	// without a fleet.
	Views [][2]int `json:"views,omitempty"`
}

// Play plays all arms on all seeds, the arms of a seed in turn, another first on each seed.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Progress == nil {
		cfg.Progress = func(string, ...any) {}
	}
	if err := cfg.Scenario.checkMachine(); err != nil {
		return err
	}
	s := cfg.Scenario
	programs := map[string]string{}
	for _, a := range s.Arms {
		if programs[a.Commit] == "" {
			program, err := cfg.agentProgram(a.Commit)
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
			rec, err := cfg.runArm(ctx, a, programs[a.Commit], seed)
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
func (s *Scenario) checkMachine() error {
	cpus := float64(runtime.NumCPU())
	// By docs/LAB.md: an agent takes some 12 MB and, idle, 0.1 % of a processor; a request 1 ms in all.
	need := s.requestRate()*1.0/1000 + float64(s.Fleet.Agents)*0.001 + 0.5
	if need > cpus {
		return fmt.Errorf("%d agents and %.0f requests a second take some %.1f processors, and %.0f are here", s.Fleet.Agents, s.requestRate(), need, cpus)
	}
	if mb, free := s.Fleet.Agents*14+s.Fleet.Servers*4+200, processtest.FreeMB(); mb > free {
		return fmt.Errorf("%d agents and %d nodes take some %d MB, and %d MB are free", s.Fleet.Agents, s.Fleet.Servers, mb, free)
	}
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	// At most agents keep one connection to each node, and few more to their list and clients.
	fds := uint64(200 + s.Fleet.Servers*len(s.Fleet.Zones)*2 + s.Fleet.Agents*(8+s.Fleet.Servers))
	if fds > lim.Max {
		return fmt.Errorf("%d agents and %d nodes take some %d descriptors, and %d are allowed", s.Fleet.Agents, s.Fleet.Servers, fds, lim.Max)
	}
	if lim.Cur < fds {
		lim.Cur = fds
		return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lim)
	}
	return nil
}

// program is the agent that a commit builds, or the one given.
func (cfg *Config) agentProgram(commit string) (string, error) {
	if commit == "" {
		return filepath.Abs(cfg.Binary)
	}
	if cfg.Repository == "" {
		return "", errors.New("no checkout is known from which a commit could be built")
	}
	cfg.Progress("building %s", commit)
	src := filepath.Join(cfg.Dir, "src-"+commit)
	if err := os.MkdirAll(src, 0o755); err != nil {
		return "", err
	}
	pack := exec.Command("git", "-C", cfg.Repository, "archive", commit)
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
type armRun struct {
	scenario       *Scenario
	emulator       *emulator.Emulator
	emulatorConfig emulator.Config
	arm            Arm
	network        *faultproxy.Board // nil: the agents do not talk
	processes      *processtest.Cluster
	agentNames     []string
	agentIndex     map[string]int
	finished       chan struct{} // closed when the traffic is over
}

func (cfg *Config) runArm(ctx context.Context, a Arm, program string, seed uint64) (*Record, error) {
	s := cfg.Scenario
	dir, err := os.MkdirTemp(cfg.Dir, "run")
	if err != nil {
		return nil, err
	}
	r := &armRun{scenario: s, emulatorConfig: s.emulatorConfig(seed), arm: a, agentIndex: map[string]int{}, finished: make(chan struct{})}
	if r.emulator, err = emulator.New(r.emulatorConfig); err != nil {
		return nil, err
	}
	defer r.emulator.Close()
	self, children := processorSeconds(syscall.RUSAGE_SELF), processorSeconds(syscall.RUSAGE_CHILDREN)
	if err := r.prepareAgents(dir, program, seed); err != nil {
		return nil, err
	}
	if r.network != nil {
		defer r.network.Close()
	}
	defer r.processes.Close()
	if err := processtest.Each(r.agentNames, r.startAgent); err != nil {
		return nil, err
	}
	if r.network != nil { // joining is no part of the traffic's time
		if err := processtest.Await(time.Minute, "all agents see each other", r.membershipComplete); err != nil {
			return nil, err
		}
	}
	var troubles sync.WaitGroup
	faults := make(chan error, len(s.Faults))
	var changes []emulator.TrafficChange
	for i, t := range s.Faults {
		if k := faultKinds[t.Kind]; k.trafficChange != nil {
			changes = append(changes, k.trafficChange(t))
			continue
		}
		// Each has draws of its own, so that what it meets does not hang on the others' times.
		draw := rand.New(rand.NewPCG(seed, 100+uint64(i)))
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			r.wait(t.At)
			if err := faultKinds[t.Kind].inject(r, t, draw); err != nil {
				faults <- fmt.Errorf("%s: %w", t.Kind, err)
			}
		}()
	}
	r.emulator.SetTrafficChanges(changes...)
	stop := context.AfterFunc(ctx, func() {
		r.emulator.Stop()
		r.processes.Close()
	})
	rec := &Record{Scenario: s.Name, Arm: a.Name, Seed: seed, Commit: Revision(a.Commit, program, cfg.Repository), Machine: machineDescription(), Length: s.Length}
	if r.network != nil {
		troubles.Add(1)
		go func() {
			defer troubles.Done()
			rec.Views = r.sampleViews()
		}()
	}
	res := r.emulator.Run(s.Length)
	rec.Result = res
	stop()
	close(r.finished)
	troubles.Wait()
	close(faults)
	if ctx.Err() != nil {
		return nil, errors.New("interrupted")
	}
	for err := range faults {
		res.Errors = append(res.Errors, err.Error())
	}
	for _, n := range r.agentNames {
		if !r.processes.Running(n) {
			rec.AgentError = n + " ended by itself"
		}
	}
	r.processes.Close()
	rec.HarnessCPU, rec.AgentsCPU = processorSeconds(syscall.RUSAGE_SELF)-self, processorSeconds(syscall.RUSAGE_CHILDREN)-children
	rec.Valid = len(res.Errors) == 0
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
const viewSampleSize = 8

// views asks some agents each second how many they see, until the run is over.
func (r *armRun) sampleViews() (out [][2]int) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-r.finished:
			return out
		}
		seen := [2]int{}
		for i := range min(viewSampleSize, len(r.agentNames)) {
			n := r.agentsSeen(r.agentNames[i*len(r.agentNames)/viewSampleSize%len(r.agentNames)])
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
func (r *armRun) agentsSeen(name string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	s, err := membership.Ask(ctx, r.emulator.Address(r.agentIndex[name], emulator.AdminPort), "members=none&since=4611686018427387904")
	if err != nil {
		return 0
	}
	return s.Present
}

// settled tells whether all agents see all.
func (r *armRun) membershipComplete() bool {
	time.Sleep(100 * time.Millisecond)
	return !slices.ContainsFunc(r.agentNames, func(n string) bool { return r.agentsSeen(n) != len(r.agentNames) })
}

// cpu is the processor time of this process, or of its children that have ended, in seconds.
func processorSeconds(who int) float64 {
	var u syscall.Rusage
	if syscall.Getrusage(who, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func machineDescription() string {
	return fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}

// prepare writes the agents' configurations.
func (r *armRun) prepareAgents(dir, program string, seed uint64) (err error) {
	var seeds []string
	places := map[string][2]string{}
	if r.arm.Fleet {
		if r.network, err = faultproxy.New(seed); err != nil {
			return err
		}
	}
	for i, a := range r.emulatorConfig.Agents {
		r.agentNames = append(r.agentNames, a.Name)
		r.agentIndex[a.Name] = i
		if r.network != nil {
			bind, advertise, err := r.network.Add(a.Name)
			if err != nil {
				return err
			}
			places[a.Name] = [2]string{bind, advertise}
			if len(seeds) < 3 {
				seeds = append(seeds, advertise)
			}
		}
	}
	for i, a := range r.emulatorConfig.Agents {
		c := r.agentConfig(i, a, seed)
		if p, ok := places[a.Name]; ok {
			c["fleet"] = map[string]any{"bind": p[0], "advertise": p[1], "seeds": seeds, "site": "lab",
				"zone": r.scenario.Fleet.Zones[a.Zone], "networks": []string{"127.0.0.0/8"}}
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
	r.processes, err = processtest.New(processtest.Config{Binary: program, Dir: dir, Names: r.agentNames, Env: func(name string) []string {
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
func (r *armRun) agentConfig(i int, a emulator.Agent, seed uint64) map[string]any {
	return map[string]any{"name": a.Name, "listen": r.emulator.Address(i, emulator.ListenPort), "management": r.emulator.Address(i, emulator.AdminPort),
		"discovery": r.emulator.Address(i, emulator.DiscoveryPort), "seed": strconv.FormatUint(seed*1000+uint64(i), 16),
		"limits": r.scenario.Limits(), "known": r.emulator.InitialList(a.Name), "settings": r.scenario.Settings(i, a.Zone, len(r.emulatorConfig.Agents))}
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
		"contract": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": s.Contract.SlowStartFrom, "coldMs": ms(s.Contract.SlowStartFor),
			"drainGraceMs": ms(s.Contract.DrainGrace), "fallMultiple": s.Contract.OverloadMultiple, "tipAfterMs": ms(s.Contract.OverloadWindow)},
		"failureDomains": s.Fleet.Zones, "family": "mesh", "familyInfo": map[string]any{"warmKeys": warm}, "index": index,
		"limits": map[string]any{"cancelling": true, "connectTimeoutMs": 250, "keepaliveMs": ms(keepAlive), "maxAttempts": 5,
			"maxRetryAfterMs": 1500, "openCap": 20000, "parallelTries": false, "probing": true, "retryAfter": false},
		"membershipMode": "pushed", "objectiveMix": map[string]any{"whole": 0.6, "worstClass": 0.35, "worstWindow": 0.05},
		"prices":       map[string]any{"crossZone": 0.03, "lateFail": 0.05, "probe": 0.0082, "waste": 0.032},
		"replicasOfMe": agents, "roundMs": 5, "shapes": shapes, "weights": "nominal", "worthBy": "work", "zone": zone}
}

// start starts an agent and waits until it is ready.
func (r *armRun) startAgent(name string) error {
	if err := r.processes.Start(name); err != nil {
		return err
	}
	r.emulator.AgentStarted(name)
	url := "http://" + r.emulator.Address(r.agentIndex[name], emulator.ListenPort) + "/-/ready"
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	return processtest.Await(30*time.Second, name+" is ready", func() bool {
		resp, err := client.Get(url)
		if err != nil {
			select {
			case <-r.finished:
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
func (rec *Record) Metrics() map[string]float64 {
	out := maps.Clone(rec.Result.Metrics)
	out["agents' CPU s"], out["lab's CPU s"] = rec.AgentsCPU, rec.HarnessCPU
	out["rules broken"] = float64(len(rec.Result.Violations))
	return out
}
