package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["paused"] = pausedCase }

// pausedCase: the leader of discovery is stopped for 7 s, and another one is elected. Reads that came to the stopped one
// must not be answered with a list older than max_stale when it goes on.
func pausedCase(r *run) {
	ids := []string{"d1", "d2", "d3"}
	instances := map[string]instance{}
	for _, id := range ids {
		instances[id] = instance{id: id, raft: freeAddr(), http: freeAddr(), admin: freeAddr()}
	}
	processes := map[string]*process{}
	for _, id := range ids {
		own := instances[id]
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nraft_addr = %q\nhttp_addr = %q\nadmin_addr = %q\nbootstrap = %v\n",
			id, filepath.Join(r.dir, id), own.raft, own.http, own.admin, id == ids[0])
		for _, peer := range ids {
			if peer != id {
				text += fmt.Sprintf("[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", peer, instances[peer].raft, instances[peer].admin)
			}
		}
		path := filepath.Join(r.dir, id+".toml")
		r.must(os.WriteFile(path, []byte(text), 0o600), "configuration")
		processes[id] = r.start(id, "exec bin/discovery serve --config "+path)
	}
	leader := r.awaitLeader(instances)
	for i := range 4 {
		r.discovery("put", fmt.Sprintf("s-%d", i), "--addr", fmt.Sprintf("127.0.0.1:%d", 9000+i), "--zone", "quito-norte",
			"--admin", instances[leader].admin)
	}
	time.Sleep(time.Second)
	others := map[string]instance{leader: instances[leader]}
	if r.trouble {
		r.signal(processes[leader], syscall.SIGSTOP)
		time.Sleep(2 * time.Second)
		others = map[string]instance{}
		for id, other := range instances {
			if id != leader {
				others[id] = other
			}
		}
	}
	r.discovery("remove", "s-0", "--admin", instances[r.awaitLeader(others)].admin)
	removed := time.Now()
	time.Sleep(5 * time.Second)
	var reads []net.Conn
	asked := time.Now()
	for range 20 {
		conn, err := dial(instances[leader].http)
		r.must(err, "connect")
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "GET /api/targets HTTP/1.1\r\nHost: discovery\r\n\r\n")
		reads = append(reads, conn)
	}
	if r.trouble {
		r.signal(processes[leader], syscall.SIGCONT)
	}
	stale := 0
	for _, conn := range reads {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			r.logf("read: %v", err)
			continue
		}
		var list struct{ Servers []entry }
		_ = json.NewDecoder(resp.Body).Decode(&list)
		for _, server := range list.Servers {
			if server.ID == "s-0" {
				stale++
			}
		}
	}
	if stale > 0 {
		r.breaks("max_stale: %s answered %d of %d reads with a list that has s-0, %.1f s after its removal was acknowledged",
			leader, stale, len(reads), asked.Sub(removed).Seconds())
	}
}
