package main

import (
	"syscall"
	"time"
)

func init() { cases["absent"] = caseAbsent }

// caseAbsent sends SIGHUP with a configuration that moves discovery and adds a class. The new class has no aimStretch,
// which may be absent; the classes before have one. A server that drains after that has to be left.
func caseAbsent(dir string) verdict {
	const (
		perSecond   = 40
		pause       = 4 * time.Second
		after       = 22 * time.Second
		toldAfter   = 6 * time.Second // PROTOCOL, "Figures"
		listVersion = 41
	)
	var servers []*standInServer
	var list []target
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		s := newServer(name, serveAfter(40*time.Millisecond))
		servers = append(servers, s)
		list = append(list, up(name, s.addr()))
	}
	leaving := servers[2]
	discovery := newStandInDiscovery(listVersion, list)
	config := newAgentConfig(dir, freeAddr(), discovery.addr(), discovery.list())
	inForce := config.object["settings"].(object)
	classes := inForce["classes"].([]object)
	for _, class := range classes {
		class["aimStretch"] = 1.5
	}
	config.write()
	agent := startAgent(dir, config)
	traffic := startLoad(config.object["listen"].(string), perSecond)
	time.Sleep(pause)
	if trouble {
		old := discovery
		discovery = newStandInDiscovery(listVersion, list)
		config.object["discovery"] = discovery.addr()
		inForce["classes"] = append(classes, object{"name": "consulta-lote", "aimMs": 900, "giveUpMs": 3000, "effect": "free",
			"credit": 2, "lateShare": 0.25, "group": "all", "keyTtlMs": 5000, "streamed": false})
		config.write()
		agent.signal(syscall.SIGHUP)
		note("SIGHUP: discovery moves from %s to %s, with the same list; a class without aimStretch is added",
			old.addr(), discovery.addr())
		old.retire()
		note("the old address is closed")
	}
	time.Sleep(2 * pause)
	draining := list[2]
	draining.State = "draining"
	discovery.set(draining)
	told := time.Now().Add(toldAfter)
	time.Sleep(after)
	results := traffic.finish()
	transcript(results, servers)
	return drainVerdict(servers, leaving, agent, told)
}
