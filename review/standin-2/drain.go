package main

import "time"

const (
	// drainGrace is the grace of the rule on drains in the settings, with the 50 ms of PROTOCOL, "The rules on sockets".
	drainGrace = 300*time.Millisecond + 50*time.Millisecond
	// heldUp is how long an agent may be held up between its clock and a write (STANDING).
	heldUp = 150 * time.Millisecond
)

// drainVerdict checks the rule on drains for a server that the agent counts as told of from a time on.
func drainVerdict(servers []*standInServer, leaving *standInServer, agent *process, told time.Time) (v verdict) {
	if agent.ended() {
		v.broken("the agent has ended")
	}
	last := told.Add(drainGrace + heldUp)
	note("nothing may reach %s after %s", leaving.Name, at(last))
	for _, s := range servers {
		late := 0
		for _, a := range s.all() {
			if !a.First.After(last) {
				continue
			}
			late++
			if s == leaving {
				v.broken("request %s reached %s at %s, %.1f s after the agent counted as told",
					a.ID, s.Name, at(a.First), a.First.Sub(told).Seconds())
			}
		}
		note("%s got %d requests in all and %d after that", s.Name, len(s.all()), late)
	}
	return v
}
