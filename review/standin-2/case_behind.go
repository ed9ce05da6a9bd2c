package main

import (
	"encoding/json"
	"net"
	"time"
)

func init() { cases["behind"] = caseBehind }

// caseBehind kills the discovery instance that an agent calls and starts it again. A change that the others have taken
// meanwhile has to reach the agent in time once that instance can be reached.
func caseBehind(dir string) verdict {
	const (
		clusterSize, perSecond = 3, 40
		pause                  = 3 * time.Second
		down                   = 12 * time.Second
		after                  = 10 * time.Second
		toldAfter              = 6 * time.Second // STANDING
	)
	var servers []*standInServer
	var list []target
	for _, name := range []string{"s-1", "s-2", "s-3"} {
		s := newServer(name, serveAfter(40*time.Millisecond))
		servers = append(servers, s)
		list = append(list, up(name, s.addr()))
	}
	leaving := servers[2]
	cluster := newDiscovery(dir, "d", clusterSize)
	for _, d := range cluster {
		d.start()
	}
	for _, t := range list {
		put(cluster[0], t)
	}
	awaitLists(cluster)
	own, other := followerOf(cluster)
	known, err := readList(own.http)
	check(err)
	config := newAgentConfig(dir, freeAddr(), own.http, known)
	agent := startAgent(dir, config)
	traffic := startLoad(config.object["listen"].(string), perSecond)
	time.Sleep(pause)
	killedAt := time.Now()
	if trouble {
		own.process.kill()
		note("SIGKILL to the discovery instance %s, a follower, which the agent calls", own.id)
	}
	time.Sleep(down / 2)
	draining := list[2]
	draining.State = "draining"
	put(other, draining)
	if trouble {
		time.Sleep(time.Until(killedAt.Add(down)))
		own.start()
		awaitListener(own.http)
		note("instance %s can be reached again", own.id)
	}
	told := time.Now().Add(toldAfter)
	go watchList(own, told.Add(after))
	time.Sleep(time.Until(told) + after)
	results := traffic.finish()
	transcript(results, servers)
	return drainVerdict(servers, leaving, agent, told)
}

// followerOf returns an instance that is a follower, and another instance.
func followerOf(cluster []*discoveryInstance) (follower, other *discoveryInstance) {
	for i, d := range cluster {
		text, err := discoveryCommand("status", "--admin", d.admin)
		check(err)
		var status struct{ State string }
		check(json.Unmarshal([]byte(text), &status))
		if status.State == "Follower" {
			return d, cluster[(i+1)%len(cluster)]
		}
	}
	unable("no instance is a follower")
	return nil, nil
}

// awaitListener waits until an address accepts connections.
func awaitListener(addr string) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			_ = conn.Close()
			return
		}
	}
	unable("%s accepts no connection", addr)
}

// watchList notes what an instance answers to a call for the whole list.
func watchList(d *discoveryInstance, until time.Time) {
	last := ""
	for time.Now().Before(until) {
		list, err := readList(d.http)
		answer := ""
		switch {
		case err != nil:
			answer = err.Error()
		default:
			for _, t := range list.Servers {
				answer += t.ID + " " + t.State + " "
			}
		}
		if answer != last {
			note("instance %s answers: %s", d.id, answer)
			last = answer
		}
		time.Sleep(200 * time.Millisecond)
	}
}
