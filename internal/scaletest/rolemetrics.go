package scaletest

import (
	"context"
	"maps"

	"fernbeam.example/fernbeam/internal/capacity"
)

// roleMetrics returns the metrics of all roles between two samples.
func (f *fleet) roleMetrics(ctx context.Context, before, after *sample) map[capacity.Role]capacity.RoleMetrics {
	members := f.agentMetrics(before, after)
	leader := f.discovery.leader(ctx)
	for name, end := range after.discovery {
		start, ok := before.discovery[name]
		if !ok {
			continue
		}
		role := capacity.RoleFollower
		if name == leader {
			role = capacity.RoleLeader
		}
		members[role] = append(members[role], end.since(start))
	}
	roles := map[capacity.Role]capacity.RoleMetrics{}
	for role, values := range members {
		roles[role] = summarize(values)
	}
	return roles
}

// agentMetrics returns the metrics, by role, of the running agents that are in both samples. Those of a hollow agent
// include its equal part of the host process's metrics.
func (f *fleet) agentMetrics(before, after *sample) map[capacity.Role][]metricValues {
	perAgent := hostMetricsPerAgent(before, after)
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[capacity.Role][]metricValues{}
	for _, m := range f.members {
		role := capacity.RoleReal
		start, end := before.real[m.name], after.real[m.name]
		if m.hollow() {
			role = capacity.RoleHollow
			start, end = before.hollow[m.name], after.hollow[m.name]
		}
		if !m.running || start.at.IsZero() || end.at.IsZero() {
			continue
		}
		values := end.since(start)
		if m.hollow() {
			maps.Copy(values, perAgent[m.host.name])
		}
		members[role] = append(members[role], values)
	}
	return members
}

// hostMetricsPerAgent returns the metrics of each host process divided by the number of its agents.
func hostMetricsPerAgent(before, after *sample) map[string]metricValues {
	perAgent := map[string]metricValues{}
	for name, end := range after.hosts {
		values := end.since(before.hosts[name])
		for metric := range values {
			values[metric] /= float64(max(1, after.agentsPerHost[name]))
		}
		perAgent[name] = values
	}
	return perAgent
}

// summarize returns the mean and the maximum of each metric over the members of a role.
func summarize(members []metricValues) capacity.RoleMetrics {
	r := capacity.RoleMetrics{Count: len(members), Mean: metricValues{}, Max: metricValues{}}
	for _, values := range members {
		for metric, value := range values {
			r.Mean[metric] += value / float64(len(members))
			if largest, ok := r.Max[metric]; !ok || value > largest {
				r.Max[metric] = value
			}
		}
	}
	return r
}
