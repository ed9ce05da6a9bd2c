package main

import "time"

func init() { cases["outage"] = caseOutage }

// caseOutage upgrades an agent while discovery is down. The agent was told long before that a server drains. The rules
// see one agent.
func caseOutage(dir string) verdict {
	const (
		perSecond   = 40
		pause       = 3 * time.Second
		outage      = 7500 * time.Millisecond // of 8 s (STANDING, herd+mass)
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
	agents := newPlatform(dir, config)
	agent := agents.start()
	traffic := startLoad(config.object["listen"].(string), perSecond)
	time.Sleep(pause)
	draining := list[2]
	draining.State = "draining"
	discovery.set(draining)
	time.Sleep(3 * pause)
	discovery.setSilent(trouble)
	silentAt := time.Now()
	time.Sleep(time.Second)
	agent = agents.upgrade(agent)
	told := time.Now().Add(2 * time.Second) // "What discovery tells binds 2 s after the yes"; the yes came before
	time.Sleep(time.Until(silentAt.Add(outage)))
	discovery.setSilent(false)
	time.Sleep(pause)
	results := traffic.finish()
	transcript(results, servers)
	return drainVerdict(servers, leaving, agent, told)
}
