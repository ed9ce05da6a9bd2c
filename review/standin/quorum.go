package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["quorum"] = quorumCase }

const (
	firstFleet = 3
	laterFleet = 9
)

// quorumCase: new settings say that there are nine agents (replicasOfMe) where there were three. The three old agents see
// no other one, as on the minority side of a partition, and must not say that they are a majority.
func quorumCase(r *run) {
	addr, _ := r.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }))
	list := newListing(r, entry{ID: "s-1", Addr: addr, Zone: "quito-norte", Kind: "normal-2c", State: "up", Weight: 1})
	discovery, _ := r.serve(list)
	known, _, _ := list.list(0, true)
	size := firstFleet
	if !r.trouble {
		size = laterFleet
	}
	fleetOf := func(size int) object {
		changed := settings(quitoClasses, "quito-norte")
		changed["replicasOfMe"] = size
		return changed
	}
	var agents []*agent
	var configs []object
	var admins, seeds []string
	for range firstFleet {
		admins = append(admins, freeAddr())
		seeds = append(seeds, freeAddr())
	}
	for i := range firstFleet {
		name := fmt.Sprintf("n%d", i+1)
		c := config(discovery, known, fleetOf(size))
		c["name"], c["management"] = name, admins[i]
		c["fleet"] = object{"bind": seeds[i], "seeds": seeds, "site": "precios-quito"}
		a := &agent{listen: freeAddr(), path: filepath.Join(r.dir, name+".json")}
		r.writeConfig(a, c)
		a.process = r.start(name, "exec bin/agent", "PROXY_NAME="+name, "PROXY_LISTEN="+a.listen, "PROXY_DISCOVERY="+discovery,
			"PROXY_CONFIG="+a.path, "PROXY_MANAGEMENT="+admins[i], "PROXY_LISTEN_FD=")
		agents, configs = append(agents, a), append(configs, c)
	}
	time.Sleep(10 * time.Second)
	if r.trouble {
		for i, a := range agents {
			configs[i]["settings"] = fleetOf(laterFleet)
			r.writeConfig(a, configs[i])
			r.signal(a.process, syscall.SIGHUP)
		}
	}
	time.Sleep(10 * time.Second)
	for i, admin := range admins {
		resp, err := http.Get("http://" + admin + "/ops/fleet?members=none")
		r.must(err, "membership")
		var view struct {
			Size    int
			AtLeast int `json:"at_least"`
			AtMost  int `json:"at_most"`
			Quorate bool
		}
		r.must(json.NewDecoder(resp.Body).Decode(&view), "membership")
		_ = resp.Body.Close()
		r.logf("view of n%d: %+v", i+1, view)
		if view.Quorate && 2*view.AtLeast <= laterFleet {
			r.breaks("quorate: n%d says so with %d of %d agents, and that at most %d are present", i+1, view.AtLeast, laterFleet,
				view.AtMost)
		}
	}
}
