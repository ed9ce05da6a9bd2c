package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	cutBeforeWrite = 10 * time.Second
	cutTime        = 24900 * time.Millisecond // within the 25 s of the long cuts of docs/CAPACITY.md
	watchTime      = 12 * time.Second         // after the cut
	// maxAge is the default of max_stale, and the time in which a leader that is cut off steps down.
	maxAge = 2*time.Second + 500*time.Millisecond
	// ageSlack is for the time that a poll takes.
	ageSlack = 500 * time.Millisecond
)

// instance is a discovery instance.
type instance struct {
	id, raft, http, admin string
}

func init() { cases["stale"] = staleCase }

// staleCase: an instance of discovery is cut off from the others for some time. A server is removed meanwhile. Once the
// cut is over the instance must not answer a read with a list that is older than max_stale.
func staleCase(r *run) {
	ids := []string{"d1", "d2", "d3"}
	instances := map[string]instance{}
	for _, id := range ids {
		instances[id] = instance{id: id, raft: freeAddr(), http: freeAddr(), admin: freeAddr()}
	}
	links := map[string][]*link{} // by the instance at either end
	for _, id := range ids {
		own := instances[id]
		text := fmt.Sprintf("id = %q\ndata_dir = %q\nraft_addr = %q\nhttp_addr = %q\nadmin_addr = %q\nbootstrap = %v\n",
			id, filepath.Join(r.dir, id), own.raft, own.http, own.admin, id == ids[0])
		for _, peer := range ids {
			if peer == id {
				continue
			}
			raft, admin := newLink(r, instances[peer].raft), newLink(r, instances[peer].admin)
			for _, end := range []string{id, peer} {
				links[end] = append(links[end], raft, admin)
			}
			text += fmt.Sprintf("[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", peer, raft.addr, admin.addr)
		}
		path := filepath.Join(r.dir, id+".toml")
		r.must(os.WriteFile(path, []byte(text), 0o600), "configuration")
		r.logf("configuration of %s: %s", id, strings.ReplaceAll(text, "\n", "; "))
		r.start(id, "exec bin/discovery serve --config "+path)
	}
	leader := r.awaitLeader(instances)
	for i := range 4 {
		r.discovery("put", fmt.Sprintf("s-%d", i), "--addr", fmt.Sprintf("127.0.0.1:%d", 9000+i), "--zone", "quito-norte",
			"--admin", instances[leader].admin)
	}
	cut := ids[0]
	if cut == leader {
		cut = ids[1]
	}
	time.Sleep(time.Second)
	if r.trouble {
		r.logf("%s is cut off from the other instances", cut)
		for _, l := range links[cut] {
			l.cut()
		}
	}
	began := time.Now()
	var polls sync.WaitGroup
	polls.Add(1)
	removed := make(chan time.Time, 1)
	go func() {
		defer polls.Done()
		r.pollList(instances[cut], began.Add(cutTime+watchTime), removed)
	}()
	time.Sleep(cutBeforeWrite)
	if r.trouble {
		leader = r.awaitLeader(map[string]instance{leader: instances[leader]})
	}
	r.discovery("remove", "s-0", "--admin", instances[leader].admin)
	removed <- time.Now()
	time.Sleep(time.Until(began.Add(cutTime)))
	if r.trouble {
		r.logf("%s is no longer cut off", cut)
		for _, l := range links[cut] {
			l.heal()
		}
	}
	polls.Wait()
}

// awaitLeader waits until one of the instances is the leader.
func (r *run) awaitLeader(instances map[string]instance) string {
	for range 200 {
		for id, i := range instances {
			var status struct{ State string }
			resp, err := http.Get("http://" + i.admin + "/v1/status")
			if err == nil {
				_ = json.NewDecoder(resp.Body).Decode(&status)
				_ = resp.Body.Close()
			}
			if status.State == "Leader" {
				r.logf("%s is the leader", id)
				return id
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(unable{"no leader"})
}

// discovery runs a command of the discovery program, which has to succeed.
func (r *run) discovery(args ...string) {
	out, err := exec.Command("bin/discovery", args...).CombinedOutput()
	r.logf("discovery %s: %s (%v)", strings.Join(args, " "), strings.TrimSpace(string(out)), err)
	r.must(err, "discovery "+args[0])
}

// pollList reads the list of an instance until the end and checks its age: a list that has s-0 is at least as old as the
// acknowledgement of the removal.
func (r *run) pollList(from instance, end time.Time, removals <-chan time.Time) {
	var removed time.Time
	stale := 0
	for time.Now().Before(end) {
		select {
		case removed = <-removals:
		default:
		}
		asked := time.Now()
		state, hasRemoved := r.readList(from)
		r.logf("read at %s: %s", from.id, state)
		if age := asked.Sub(removed); hasRemoved && !removed.IsZero() && age > maxAge+ageSlack {
			if stale++; stale == 1 {
				r.breaks("max_stale: %s answered a read with a list that has s-0, %.1f s after its removal was acknowledged",
					from.id, age.Seconds())
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.logf("%d reads were answered with a list older than %v", stale, maxAge+ageSlack)
}

// readList makes one read and returns a summary of the answer, and whether it has s-0.
func (r *run) readList(from instance) (state string, hasRemoved bool) {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + from.http + "/api/targets")
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Version int
		Servers []entry
	}
	if resp.StatusCode != http.StatusOK {
		return resp.Status, false
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return err.Error(), false
	}
	ids := []string{}
	for _, server := range list.Servers {
		ids = append(ids, server.ID)
		hasRemoved = hasRemoved || server.ID == "s-0"
	}
	return fmt.Sprintf("%s, version %d, %v", resp.Status, list.Version, ids), hasRemoved
}
