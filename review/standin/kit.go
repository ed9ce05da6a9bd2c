// Command standin holds the stand-ins and the checks of the cases under review/. Each case is a subcommand: it starts
// the project's programs as processes, plays their clients, servers and platform on loopback addresses, writes a record
// and ends with 0 (rule held), 1 (rule broken) or 2 (could not run).
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type object = map[string]any

// run is one run of a case.
type run struct {
	trouble bool
	dir     string // temporary
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	broken  []string
	stopped []func()
}

// unable ends a case that could not run.
type unable struct{ reason string }

// cases has the cases by name. Each file of a case adds its own.
var cases = map[string]func(*run){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(body func(*run), path string) (code int) {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	r.logf("trouble %v", r.trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, os.Interrupt)
	go func() {
		r.logf("could not run: %v", <-ended)
		r.cleanup()
		os.Exit(2)
	}()
	limit := time.AfterFunc(115*time.Second, func() {
		r.logf("could not run: not done within 115 s")
		r.cleanup()
		os.Exit(2)
	})
	defer func() {
		if reason, ok := recover().(unable); ok {
			r.logf("could not run: %s", reason.reason)
			code = 2
		}
		limit.Stop()
		r.cleanup()
		r.logf("exit code %d", code)
		_ = record.Close()
	}()
	body(r)
	for _, text := range r.broken {
		r.logf("RULE BROKEN: %s", text)
	}
	if len(r.broken) > 0 {
		return 1
	}
	r.logf("rule held")
	return 0
}

// cleanup ends all processes and removes the temporary folder.
func (r *run) cleanup() {
	r.mu.Lock()
	stopped := r.stopped
	r.stopped = nil
	r.mu.Unlock()
	for i := len(stopped) - 1; i >= 0; i-- {
		stopped[i]()
	}
	_ = os.RemoveAll(r.dir)
}

func (r *run) atEnd(stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = append(r.stopped, stop)
}

// logf writes a line to the record, with the time since the start.
func (r *run) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.logf("broken: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

func (r *run) must(err error, what string) {
	if err != nil {
		panic(unable{what + ": " + err.Error()})
	}
}

func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unable{"listen: " + err.Error()})
	}
	return ln
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() string {
	ln := listen()
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// process is a process of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a command of the project with /bin/sh from the project's root.
func (r *run) start(name, command string, env ...string) *process {
	logged, err := os.Create(filepath.Join(r.dir, name+".log"))
	r.must(err, "log")
	temp := filepath.Join(r.dir, name+".tmp")
	r.must(os.MkdirAll(temp, 0o700), "folder")
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), append([]string{"TMPDIR=" + temp}, env...)...)
	cmd.Stdout, cmd.Stderr = logged, logged
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.must(cmd.Start(), "start "+name)
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	r.logf("started %s: %s (process %d)", name, command, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	r.atEnd(func() {
		_ = cmd.Process.Kill()
		<-p.done
		text, _ := os.ReadFile(logged.Name())
		if len(text) > 20000 {
			text = append(append(text[:10000:10000], "\n...\n"...), text[len(text)-10000:]...)
		}
		r.logf("log of %s:\n%s", name, text)
	})
	return p
}

func (r *run) signal(p *process, s syscall.Signal) {
	r.logf("signal to %s: %v", p.name, s)
	r.must(p.cmd.Process.Signal(s), "signal")
}

// agent is an agent's process and its configuration.
type agent struct {
	*process
	listen, path string
}

// startAgent starts an agent and waits until it is ready.
func (r *run) startAgent(config object) *agent {
	a := &agent{listen: freeAddr(), path: filepath.Join(r.dir, "config.json")}
	config["listen"] = a.listen
	r.writeConfig(a, config)
	a.process = r.start("agent", "exec bin/agent", "PROXY_NAME=n1", "PROXY_LISTEN="+a.listen,
		"PROXY_DISCOVERY="+config["discovery"].(string), "PROXY_CONFIG="+a.path, "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=")
	for range 300 {
		resp, err := http.Get("http://" + a.listen + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.logf("agent is ready")
				return a
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(unable{"the agent is not ready"})
}

// writeConfig replaces the agent's configuration file.
func (r *run) writeConfig(a *agent, config object) {
	config["listen"] = a.listen
	text, err := json.MarshalIndent(config, "", " ")
	r.must(err, "config")
	r.must(os.WriteFile(a.path+".new", text, 0o600), "config")
	r.must(os.Rename(a.path+".new", a.path), "config")
	var line bytes.Buffer
	_ = json.Compact(&line, text)
	r.logf("configuration: %s", line.String())
}

// quitoClasses are the classes of the site precios-quito, and one that is safe to repeat.
var quitoClasses = []object{
	{"name": "cierre-valor", "aimMs": 750, "giveUpMs": 3000, "effect": "single_shot", "group": "all",
		"keyTtlMs": 5000, "credit": 10, "lateShare": 0.25, "streamed": false},
	{"name": "registro-precio", "aimMs": 500, "giveUpMs": 2000, "effect": "guarded", "group": "cell",
		"keyTtlMs": 10000, "credit": 8, "lateShare": 0.25, "streamed": false},
	{"name": "consulta", "aimMs": 500, "giveUpMs": 2000, "effect": "free", "group": "all",
		"keyTtlMs": 5000, "credit": 1, "lateShare": 0.25, "streamed": false},
}

// mantaClasses are the classes of the site tarifas-manta.
var mantaClasses = []object{
	{"name": "consulta-tarifa", "aimMs": 400, "giveUpMs": 1200, "effect": "free", "group": "all",
		"keyTtlMs": 5000, "credit": 3, "lateShare": 0.4, "streamed": false},
	{"name": "reserva-cupo", "aimMs": 900, "giveUpMs": 4500, "effect": "guarded", "group": "zone",
		"keyTtlMs": 3000, "credit": 12, "lateShare": 0.1, "streamed": false},
	{"name": "aviso-tarifa", "aimMs": 600, "giveUpMs": 1500, "effect": "guarded", "group": "all",
		"keyTtlMs": 2500, "credit": 5, "lateShare": 0.3, "streamed": false},
}

// settings returns settings like those of the sites under deploy/sites.
func settings(classes []object, zones ...string) object {
	return object{
		"classes": classes,
		"clients": object{"marksRetry": true},
		"contract": object{"answerSlackMs": 20, "askWithinMs": 10000, "coldFrom": 0.14, "coldMs": 24000,
			"drainGraceMs": 300, "fallMultiple": 3, "tipAfterMs": 2000},
		"failureDomains": zones,
		"family":         "mesh",
		"index":          0,
		"limits": object{"cancelling": true, "connectTimeoutMs": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 41310,
			"keepaliveMs": 60000, "maxAttempts": 5, "maxRetryAfterMs": 1500, "maxStreams": 1, "openCap": 20655,
			"parallelTries": false, "peerMessages": false, "probing": false, "retryAfter": false},
		"membershipMode": "pushed",
		"objectiveMix":   object{"whole": 0.6, "worstClass": 0.35, "worstTenant": 0, "worstWindow": 0.05},
		"overShareWorth": 0.1,
		"prices": object{"connection": 0, "crossZone": 0.03, "handshake": 0, "lateFail": 0.05, "membershipMode": 0,
			"moves": 0, "origin": 0, "peer": 0, "probe": 0, "waste": 0.032},
		"replicasOfMe": 3,
		"report":       object{"how": "off", "names": []string{}},
		"roundMs":      5,
		"shapes":       []string{"normal-2c"},
		"tenants":      []object{},
		"tier":         0,
		"tiers":        []string{"nodos"},
		"weights":      "nominal",
		"worthBy":      "request",
		"zone":         0,
	}
}

// config returns a configuration with the limits of a small deployment.
func config(discovery string, known object, settings object) object {
	return object{
		"name": "n1", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":    known,
		"settings": settings,
	}
}

// entry is a server in the list of discovery.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// listing is a discovery that answers by the protocol: the whole list, and watches of changes.
type listing struct {
	r       *run
	mu      sync.Mutex
	version int
	entries map[string]entry
	changed map[string]int // version of the last change, by id
	wake    chan struct{}
}

func newListing(r *run, entries ...entry) *listing {
	l := &listing{r: r, entries: map[string]entry{}, changed: map[string]int{}, wake: make(chan struct{})}
	l.put(entries...)
	return l
}

func (l *listing) put(entries ...entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		l.version++
		l.entries[e.ID] = e
		l.changed[e.ID] = l.version
		l.r.logf("discovery: version %d has %+v", l.version, e)
	}
	close(l.wake)
	l.wake = make(chan struct{})
}

// list returns the entries that changed after a version, or all of them.
func (l *listing) list(after int, full bool) (object, bool, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	servers := []entry{}
	for id, e := range l.entries {
		if full && e.State != "removed" || !full && l.changed[id] > after {
			servers = append(servers, e)
		}
	}
	return object{"version": l.version, "full": full, "servers": servers}, full || l.version > after, l.wake
}

func (l *listing) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	index, err := strconv.Atoi(req.URL.Query().Get("index"))
	full := err != nil || index == 0
	waitMs, _ := strconv.Atoi(req.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		list, news, wake := l.list(index, full)
		if !news {
			select {
			case <-wake:
				continue
			case <-timeout:
			case <-req.Context().Done():
				return
			}
		}
		text, _ := json.Marshal(list)
		if news {
			l.r.logf("discovery: told %s %s", req.RemoteAddr, text)
		}
		_, _ = w.Write(text)
		return
	}
}

// serve serves HTTP on a new loopback address until the end of the run.
func (r *run) serve(handler http.Handler) (addr string, server *httpServer) {
	server = &httpServer{Server: &http.Server{Handler: handler}, ln: listen()}
	go func() { _ = server.Serve(server.ln) }()
	r.atEnd(func() { _ = server.Close() })
	return server.ln.Addr().String(), server
}

// httpServer is an HTTP server and its listener.
type httpServer struct {
	*http.Server
	ln net.Listener
}

// moveAway ends a discovery as the page says: from now on it takes no new connections, and it closes its open ones after
// 1.5 s.
func (s *httpServer) moveAway() {
	_ = s.ln.Close()
	time.AfterFunc(1500*time.Millisecond, func() { _ = s.Close() })
}

// head returns the text of a request without its body.
func head(method, path, id, class string, timeoutMs, length int, more string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\n%s", method, path, id, class, timeoutMs, more)
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

func dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr)
}
