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
	oldAddress := newRelay(oldCluster[0].http)
	config := newAgentConfig(dir, freeAddr(), oldAddress.addr(), known)
	agent := startAgent(dir, config)
	traffic := startLoad(config.object["listen"].(string), perSecond)
	time.Sleep(before)

	told := time.Now().Add(toldAfter)
	if trouble {
		listed, err := readList(newCluster[0].http)
		check(err)
		note("list at the new address: %+v", listed)
		config.object["discovery"] = newCluster[0].http
		config.write()
		agent.signal(syscall.SIGHUP)
		note("SIGHUP: discovery moves from %s to %s", oldAddress.addr(), newCluster[0].http)
		oldAddress.retire()
		note("the old address is closed")
	} else {
		out, err := discoveryCommand("remove", "s-3", "--admin", oldCluster[0].admin)
		check(err)
		told = time.Now().Add(toldRemoved)
		note("discovery remove s-3 -> %s", out)
	}
	time.Sleep(after)
	results := traffic.finish()
	transcript(results, servers)
	return drainVerdict(servers, gone, agent, told)
}
