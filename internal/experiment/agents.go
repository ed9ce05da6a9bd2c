package experiment

import (
	"context"
	"net"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// membershipSeeds is the number of agents whose addresses every agent gets as seeds.
	membershipSeeds = 3
	// readyTimeout bounds the time from an agent's start until it is ready; readyCallTimeout bounds one readiness
	// call.
	readyTimeout     = 30 * time.Second
	readyCallTimeout = time.Second
)

// prepareAgents writes the agents' configurations into dir and prepares their processes.
func (r *armRun) prepareAgents(dir, program string) (err error) {
	var addresses *membershipAddresses // nil if the agents have no membership section
	if r.arm.Membership {
		if addresses, err = r.connectMembers(); err != nil {
			return err
		}
	}
	for i, agent := range r.emulatorConfig.Agents {
		config := r.agentConfig(i, agent)
		if addresses != nil {
			config.Membership = addresses.config(agent.Name, r.scenario.Fleet.Zones[agent.Zone])
		}
		if err := config.write(dir, r.arm.Config); err != nil {
			return err
		}
	}
	r.processes, err = processtest.New(processtest.Config{
		Binary: program, Dir: dir, Names: r.names, Env: processtest.AgentEnv(dir),
	})
	return err
}

// connectMembers adds each agent to a fault proxy and returns the agents' addresses.
func (r *armRun) connectMembers() (addresses *membershipAddresses, err error) {
	if r.proxy, err = faultproxy.New(r.seed); err != nil {
		return nil, err
	}
	addresses = &membershipAddresses{members: map[string]faultproxy.Addresses{}}
	for _, name := range r.names {
		member, err := r.proxy.AddProcess(name)
		if err != nil {
			return nil, err
		}
		addresses.members[name] = member
		if len(addresses.seeds) < membershipSeeds {
			addresses.seeds = append(addresses.seeds, member.Advertise)
		}
	}
	return addresses, nil
}

// startAgents starts all agents and waits until they are ready. If their configuration has a membership section, it
// also waits until every agent sees all agents.
func (r *armRun) startAgents(ctx context.Context) error {
	if err := processtest.Each(r.names, r.start); err != nil {
		return err
	}
	if r.proxy == nil {
		return nil
	}
	// The agents join before the traffic starts. An interruption is handled when the traffic starts.
	return r.awaitMembership(ctx)
}

// start starts an agent and waits until it is ready. After the end of the traffic it no longer waits for an agent that
// doesn't respond.
func (r *armRun) start(name string) error {
	if err := r.processes.Start(name); err != nil {
		return err
	}
	r.emulator.AgentStarted(name)
	url := "http://" + r.emulator.Address(r.agentIndex[name], emulator.ListenPort) + "/-/ready"
	client := &http.Client{
		Timeout: readyCallTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: readyCallTimeout}).DialContext,
		},
	}
	return processtest.Await(readyTimeout, name+" is ready", func() bool {
		ready, err := isReady(client, url)
		return ready || err != nil && r.isFinished()
	})
}

// isReady queries an agent's readiness endpoint. The client's timeout bounds the call.
func isReady(client *http.Client, url string) (bool, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK, nil
}

// isFinished reports whether the traffic has ended.
func (r *armRun) isFinished() bool {
	select {
	case <-r.finished:
		return true
	default:
		return false
	}
}

// closeAgents stops the agents and the fault proxy between them.
func (r *armRun) closeAgents() {
	if r.processes != nil {
		r.processes.Close()
	}
	if r.proxy != nil {
		r.proxy.Close()
	}
}
