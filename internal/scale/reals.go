package scale

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"time"

	"clayproxy.example/clayproxy/internal/cluster"
	"clayproxy.example/clayproxy/internal/fleet"
)

// reals are the processes of the real agent, with what their logs say.
type reals struct {
	*cluster.Cluster
	dir    string
	heard  *tracker
	client *http.Client

	mu   sync.Mutex
	logs map[string]*agentLog
}

// agentLog is how far an agent's log was read, and what its present process said last.
type agentLog struct {
	offset   int64
	version  uint64 // of the list
	servers  int    // entries of the list, by the module's view
	unlogged int    // lines that the process left out
}

// newReals makes the processes, whose configurations NAME.json are in dir; none runs yet.
func newReals(program, dir string, names []string, heard *tracker) (*reals, error) {
	r := &reals{dir: dir, heard: heard, logs: map[string]*agentLog{}, client: &http.Client{Timeout: time.Second,
		Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, n := range names {
		r.logs[n] = &agentLog{}
	}
	if len(names) == 0 {
		return r, nil
	}
	var err error
	r.Cluster, err = cluster.New(cluster.Config{Binary: program, Dir: dir, Names: names, Env: func(name string) []string {
		return []string{"PROXY_CONFIG=" + filepath.Join(dir, name+".json"), "PROXY_NAME=", "PROXY_LISTEN=",
			"PROXY_DISCOVERY=", "PROXY_MANAGEMENT=", "PROXY_LISTEN_FD=", "TMPDIR=" + dir}
	}})
	return r, err
}

// start starts an agent and waits until it takes clients at an address.
func (r *reals) start(ctx context.Context, name, listen string) error {
	if err := r.Start(name); err != nil {
		return err
	}
	err := cluster.Await(agentTime, name+" is ready", func() bool {
		if ctx.Err() != nil {
			return true
		}
		resp, err := r.client.Get("http://" + listen + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	r.heard.begin(name)
	return err
}

// ended reads what a process that has ended said last.
func (r *reals) ended(name string) error {
	err := r.read(name)
	r.heard.gone(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.logs[name]
	l.version, l.servers, l.unlogged = 0, 0, 0
	return err
}

// status is an agent's fleet view by its door.
func (r *reals) status(ctx context.Context, door string) (*fleet.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return fleet.Ask(ctx, door, "members=none&since=4611686018427387904")
}

// The lines of an agent's log that are read (README, "Reading the log"): "list", an answer of
// discovery as it is taken over, and "figures".
var (
	timeOf     = regexp.MustCompile(`^time=(\S+) `)
	listLine   = regexp.MustCompile(` msg=list .*\bto=(\d+)\b`)
	figureLine = regexp.MustCompile(` msg=figures .*module="\{States:\[(\d+) (\d+) (\d+) (\d+)\].*\bunlogged:(\d+)`)
)

// read reads what an agent's log has beyond what was read of it.
func (r *reals) read(name string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.logs[name]
	f, err := os.Open(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(l.offset, io.SeekStart); err != nil {
		return err
	}
	for in := bufio.NewReader(f); ; {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			return nil // a line that is not whole yet is read again
		}
		if err != nil {
			return err
		}
		l.offset += int64(len(line))
		if err := r.take(name, l, bytes.TrimSuffix(line, []byte("\n"))); err != nil {
			return fmt.Errorf("%s's log: %w", name, err)
		}
	}
}

// take takes one line; the caller holds mu.
func (r *reals) take(name string, l *agentLog, line []byte) error {
	if m := listLine.FindSubmatch(line); m != nil {
		stamp := timeOf.FindSubmatch(line)
		if stamp == nil {
			return fmt.Errorf("a line without a time: %s", line)
		}
		at, err := time.Parse(time.RFC3339Nano, string(stamp[1]))
		if err != nil {
			return err
		}
		version, err := strconv.ParseUint(string(m[1]), 10, 64)
		if err != nil {
			return err
		}
		l.version = max(l.version, version)
		r.heard.force(name, version, at)
		return nil
	}
	m := figureLine.FindSubmatch(line)
	if m == nil {
		return nil
	}
	var n int
	l.servers = 0
	for i, digits := range m[1:] {
		var err error
		if n, err = strconv.Atoi(string(digits)); err != nil {
			return err
		}
		if i < 4 { // by the module's states
			l.servers += n
		}
	}
	if n > l.unlogged {
		r.heard.blinded(name)
	}
	l.unlogged = n
	return nil
}

// knows is what an agent's log says that it knows: the list's version and its entries.
func (r *reals) knows(name string) (version uint64, servers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logs[name].version, r.logs[name].servers
}
