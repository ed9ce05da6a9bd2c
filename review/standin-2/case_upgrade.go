package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = caseUpgrade }

// platform starts processes of one agent on a client socket that it holds, as on the page for days of upgrades.
type platform struct {
	dir, tmp  string
	config    *agentConfig
	discovery string // in the environment of each process
	socket    *os.File
	started   int
}

func newPlatform(dir string, config *agentConfig) *platform {
	ln, err := net.Listen("tcp", config.object["listen"].(string))
	check(err)
	socket, err := ln.(*net.TCPListener).File()
	check(err)
	check(ln.Close()) // the file has the socket
	tmp, err := os.MkdirTemp(dir, "shared-tmp-")
	check(err)
	return &platform{dir: dir, tmp: tmp, config: config, discovery: config.object["discovery"].(string), socket: socket}
}

// start starts a process and waits until it can serve. Descriptor 5 is the clients' socket.
func (p *platform) start() *process {
	p.started++
	second := freeAddr()
	agent := start(deployCommand("run"), filepath.Join(p.dir, fmt.Sprintf("agent-%d.log", p.started)), []string{
		"PROXY_CONFIG=" + p.config.path, "TMPDIR=" + p.tmp, "PROXY_NAME=" + p.config.object["name"].(string),
		"PROXY_LISTEN=" + p.config.object["listen"].(string), "PROXY_DISCOVERY=" + p.discovery,
		"PROXY_MANAGEMENT=" + second, "PROXY_LISTEN_FD=5",
	}, p.socket, p.socket, p.socket)
	const limit = 6 * time.Second
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if saysYes(second) {
			note("process %d can serve", p.started)
			return agent
		}
	}
	unable("process %d can't serve within %v", p.started, limit)
	return nil
}

// saysYes asks an agent at its second address whether it can serve.
func saysYes(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprint(conn, "GET /ops/readiness HTTP/1.1\r\nHost: agent\r\n\r\n")
	answer := make([]byte, 64)
	n, _ := conn.Read(answer)
	return strings.Contains(string(answer[:n]), " 200 ")
}

// upgrade starts a second process and ends the first one as the page says.
func (p *platform) upgrade(old *process) *process {
	next := p.start()
	note("SIGTERM to the process before")
	old.signal(syscall.SIGTERM)
	const longestDeadline, further = 3 * time.Second, 700 * time.Millisecond
	select {
	case <-old.done:
		note("it has ended")
	case <-time.After(longestDeadline + further):
		old.kill()
		note("SIGKILL to it")
	}
	return next
}

// caseUpgrade moves discovery with SIGHUP and then starts a new version, with all else the same. A server that drains
// after that has to be left.
func caseUpgrade(dir string) verdict {
	const (
		perSecond   = 40
		pause       = 3 * time.Second
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
	first := newStandInDiscovery(listVersion, list)
	discovery := first
	config := newAgentConfig(dir, freeAddr(), first.addr(), first.list())
	agents := newPlatform(dir, config)
	agent := agents.start()
	traffic := startLoad(config.object["listen"].(string), perSecond)
	time.Sleep(pause)
	if trouble {
		discovery = newStandInDiscovery(listVersion, list)
		config.object["discovery"] = discovery.addr()
		config.write()
		agent.signal(syscall.SIGHUP)
		note("SIGHUP: discovery moves from %s to %s, with the same list", first.addr(), discovery.addr())
		first.retire()
		note("the old address is closed")
		time.Sleep(2 * pause)
		note("upgrade: PROXY_DISCOVERY=%s as before, discovery in the file is %s", agents.discovery, discovery.addr())
		agent = agents.upgrade(agent)
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
