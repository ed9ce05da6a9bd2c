package main

import (
	"syscall"
	"time"
)

func init() { cases["moved"] = caseMoved }

// caseMoved moves discovery to another address with SIGHUP. The discovery there doesn't list a server that the old one
// listed. The rule on drains: nothing goes to that server once the agent counts as told.
func caseMoved(dir string) verdict {
	const clusterSize, perSecond = 3, 40
	const (
		before      = 4 * time.Second
		after       = 25 * time.Second
		toldAfter   = 4 * time.Second // TERMS, "Reconfiguration"
		toldRemoved = 6 * time.Second // PROTOCOL, "Figures"
		grace       = 300*time.Millisecond + 50*time.Millisecond
		heldUp      = 150 * time.Millisecond
	)
	var servers []*standInServer
	var list targetList
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		s := newServer(name, serveAfter(40*time.Millisecond))
		servers = append(servers, s)
		list.Servers = append(list.Servers, up(name, s.addr()))
	}
	gone := servers[2]
	oldCluster, newCluster := newDiscovery(dir, "old", clusterSize), newDiscovery(dir, "new", clusterSize)
	for _, d := range append(oldCluster, newCluster...) {
		d.start()
	}
	for _, t := range list.Servers {
		put(oldCluster[0], t)
	}
	for _, t := range list.Servers[:2] {
		put(newCluster[0], t)
	}
	awaitLists(oldCluster)
	awaitLists(newCluster)
	known, err := readList(oldCluster[0].http)
	check(err)
	config := newAgentConfig(dir, freeAddr(), oldCluster[0].http, known)
	agent := startAgent(dir, config)
	traffic := startLoad(config.object["listen"].(string), perSecond, nil)
	time.Sleep(before)

	told := time.Now().Add(toldAfter)
	if trouble {
		listed, err := readList(newCluster[0].http)
		check(err)
		note("list at the new address: %+v", listed)
		config.object["discovery"] = newCluster[0].http
		config.write()
		agent.signal(syscall.SIGHUP)
		note("SIGHUP: discovery moves from %s to %s", oldCluster[0].http, newCluster[0].http)
		time.Sleep(1500 * time.Millisecond)
		for _, d := range oldCluster {
			d.process.stop(5 * time.Second)
		}
		note("the old discovery has ended")
	} else {
		out, err := discoveryCommand("remove", "s-3", "--admin", oldCluster[0].admin)
		check(err)
		told = time.Now().Add(toldRemoved)
		note("discovery remove s-3 -> %s", out)
	}
	time.Sleep(after)
	results := traffic.finish()
	transcript(results, servers)
	var v verdict
	if agent.ended() {
		v.broken("the agent has ended")
	}
	last := told.Add(grace + heldUp)
	note("%d requests sent; nothing may reach s-3 from %s on", len(results), at(last))
	for _, s := range servers {
		early, late := 0, 0
		for _, a := range s.all() {
			if a.First.After(last) {
				late++
			} else {
				early++
			}
			if s == gone && a.First.After(last) {
				v.broken("request %s reached s-3 at %s, %.1f s after the agent counted as told that it is gone",
					a.ID, at(a.First), a.First.Sub(told).Seconds())
			}
		}
		note("%s got %d requests until then and %d later", s.Name, early, late)
	}
	return v
}
