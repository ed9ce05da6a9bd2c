package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a program of the project that a case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

var (
	processes   []*process
	processesMu sync.Mutex
	ending      bool // nothing is started any more
)

// start starts a command by /bin/sh in the project's root, as the platform does. Its output goes to a file.
func start(command, logPath string, env []string, files ...*os.File) *process {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.ExtraFiles = files
	p := launch(cmd)
	go func() {
		<-p.done
		_ = log.Close()
	}()
	return p
}

// launch starts a program, unless all are being ended.
func launch(cmd *exec.Cmd) *process {
	processesMu.Lock()
	defer processesMu.Unlock()
	if ending {
		unable("the case is over")
	}
	check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{})}
	processes = append(processes, p)
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p
}

func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends a process with SIGTERM, and with SIGKILL after a time.
func (p *process) stop(within time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(within):
		p.kill()
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// endAll ends all processes that were started.
func endAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	ending = true
	for _, p := range processes {
		if !p.ended() {
			p.kill()
		}
	}
}

var usedPorts = map[int]bool{}

// freeAddr returns a loopback address with a free port, below those that the kernel gives to connections.
func freeAddr() string {
	const first, count, tries = 11000, 19000, 1000
	for range tries {
		port := first + rand.N(count)
		if usedPorts[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		check(ln.Close())
		usedPorts[port] = true
		return addr
	}
	unable("no free port")
	return ""
}

// target is an entry of the list of servers.
type target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

type targetList struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []target `json:"servers"`
}

func up(id, addr string) target {
	return target{ID: id, Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1}
}

type object map[string]any

// settings returns settings like those of the deployment precios-quito.
func settings() object {
	return object{
		"classes": []object{
			{"name": "cierre-valor", "aimMs": 750, "giveUpMs": 3000, "effect": "single_shot", "credit": 10, "lateShare": 0.25,
				"group": "all", "keyTtlMs": 5000, "streamed": false},
			{"name": "registro-precio", "aimMs": 500, "giveUpMs": 2000, "effect": "guarded", "credit": 8, "lateShare": 0.25,
				"group": "cell", "keyTtlMs": 10000, "streamed": false},
			{"name": "consulta", "aimMs": 500, "giveUpMs": 2000, "effect": "free", "credit": 4, "lateShare": 0.25,
				"group": "all", "keyTtlMs": 5000, "streamed": false},
		},
		"clients": object{"marksRetry": true},
		"contract": object{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.14, "coldMs": 24000,
			"drainGraceMs": 300, "fallMultiple": 3, "tipAfterMs": 2000},
		"failureDomains": []string{"quito-norte", "quito-sur"},
		"family":         "mesh",
		"familyInfo":     object{"warmKeys": true},
		"index":          0,
		"limits": object{"cancelling": true, "connectTimeoutMs": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 41310,
			"keepaliveMs": 60000, "maxAttempts": 5, "maxRetryAfterMs": 1500, "maxStreams": 1, "openCap": 20655,
			"parallelTries": false, "peerMessages": false, "probing": true, "retryAfter": false},
		"membershipMode": "pushed",
		"objectiveMix":   object{"whole": 0.6, "worstClass": 0.35, "worstTenant": 0, "worstWindow": 0.05},
		"prices":         object{"crossZone": 0.03, "handshake": 0, "connection": 0, "lateFail": 0.05, "probe": 0.0082, "waste": 0.032},
		"replicasOfMe":   3, "roundMs": 5, "shapes": []string{"normal-2c", "lento-2c"}, "tier": 0,
		"tiers": []string{"nodos-precio"}, "weights": "nominal", "worthBy": "request", "zone": 0,
	}
}

// agentConfig is the configuration of an agent.
type agentConfig struct {
	path   string
	object object
}

func newAgentConfig(dir, listen, discovery string, known targetList) *agentConfig {
	c := &agentConfig{path: filepath.Join(dir, "config.json"), object: object{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 64, "sockets": 512},
		"known":  known, "settings": settings(),
	}}
	c.write()
	return c
}

func (c *agentConfig) write() {
	text, err := json.MarshalIndent(c.object, "", " ")
	check(err)
	check(os.WriteFile(c.path+".new", text, 0o644))
	check(os.Rename(c.path+".new", c.path))
}

func (c *agentConfig) setting(section, key string, value any) {
	c.object["settings"].(object)[section].(object)[key] = value
}

// run returns the command that the deploy file has under a key.
func deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	check(err)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, key+" = \""); ok {
			return strings.TrimSuffix(rest, "\"")
		}
	}
	unable("deploy/balancer.toml has no key %s", key)
	return ""
}

// startAgent starts an agent with the command of the deploy file and waits until it is ready.
func startAgent(dir string, c *agentConfig) *process {
	tmp, err := os.MkdirTemp(dir, "agent-tmp-")
	check(err)
	listen := c.object["listen"].(string)
	p := start(deployCommand("run"), filepath.Join(dir, "agent.log"), []string{"PROXY_CONFIG=" + c.path, "TMPDIR=" + tmp,
		"PROXY_NAME=" + c.object["name"].(string), "PROXY_LISTEN=" + listen, "PROXY_DISCOVERY=" + c.object["discovery"].(string)})
	awaitReady(listen, 30*time.Second)
	return p
}

func awaitReady(addr string, within time.Duration) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	unable("the agent at %s is not ready", addr)
}

// discoveryInstance is an instance of the project's discovery service.
type discoveryInstance struct {
	id, dir, config   string
	raft, http, admin string
	process           *process
}

// newDiscovery writes the configurations of a cluster of the project's discovery service.
func newDiscovery(dir, name string, size int) []*discoveryInstance {
	var cluster []*discoveryInstance
	for i := range size {
		id := fmt.Sprintf("%s%d", name, i+1)
		cluster = append(cluster, &discoveryInstance{id: id, dir: filepath.Join(dir, id), config: filepath.Join(dir, id+".toml"),
			raft: freeAddr(), http: freeAddr(), admin: freeAddr()})
	}
	for i, d := range cluster {
		var text bytes.Buffer
		_, _ = fmt.Fprintf(&text, "id = %q\ndata_dir = %q\nraft_addr = %q\nhttp_addr = %q\nadmin_addr = %q\nbootstrap = %v\n",
			d.id, d.dir, d.raft, d.http, d.admin, i == 0)
		for j, peer := range cluster {
			if j != i {
				_, _ = fmt.Fprintf(&text, "\n[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", peer.id, peer.raft, peer.admin)
			}
		}
		check(os.WriteFile(d.config, text.Bytes(), 0o644))
	}
	return cluster
}

func (d *discoveryInstance) start() {
	d.process = start("exec bin/discovery serve --config "+d.config, d.config+".log", nil)
}

// readList reads the whole list of an instance.
func readList(addr string) (targetList, error) {
	var list targetList
	httpClient := &http.Client{Timeout: 2 * time.Second}
	resp, err := httpClient.Get("http://" + addr + "/api/targets")
	if err != nil {
		return list, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("status %d", resp.StatusCode)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return list, err
	}
	return list, json.Unmarshal(text, &list)
}

// awaitLists waits until all instances answer reads.
func awaitLists(cluster []*discoveryInstance) {
	for _, d := range cluster {
		until := time.Now().Add(20 * time.Second)
		for {
			_, err := readList(d.http)
			if err == nil {
				break
			}
			if time.Now().After(until) {
				unable("discovery instance %s does not answer: %v", d.id, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// discoveryCommand runs a command of bin/discovery and returns what it printed.
func discoveryCommand(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(root, "bin/discovery"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	p := launch(cmd)
	<-p.done
	return strings.TrimSpace(out.String()), p.err
}

// put writes an entry, with retries while there is no leader.
func put(d *discoveryInstance, t target) {
	args := []string{"put", t.ID, "--admin", d.admin, "--addr", t.Addr, "--zone", t.Zone, "--kind", t.Kind, "--state", t.State}
	var out string
	var err error
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if out, err = discoveryCommand(args...); err == nil {
			note("discovery %s -> %s", strings.Join(args, " "), out)
			return
		}
	}
	unable("discovery put: %v: %s", err, out)
}
