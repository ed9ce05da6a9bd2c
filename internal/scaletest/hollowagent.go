package scaletest

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"fernbeam.example/fernbeam/internal/agent"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/capacity"
)

// hollowAgent is one of the agents in a host process.
type hollowAgent struct {
	agent   *agent.Agent
	cancel  context.CancelFunc // stops it gracefully
	ended   <-chan struct{}    // closed once the agent is told to stop, or has ended
	reloads chan *config.Config
	config  *config.Config // the configuration in force
}

// start starts the agent that a command names.
func (h *hostServer) start(c *HostCommand, _ *hollowAgent) error {
	cfg, err := h.agentConfig(c)
	if err != nil {
		return err
	}
	listeners, ok := h.listen(c.Agent, cfg)
	if !ok {
		return nil
	}
	a := &hollowAgent{reloads: make(chan *config.Config), config: cfg}
	a.agent, err = agent.New(cfg, listeners)
	if err != nil {
		if listeners.Admin != nil {
			_ = listeners.Admin.Close() // the error of agent.New is the one to report
		}
		return err
	}
	h.spawn(c.Agent, a)
	return nil
}

// agentConfig returns the configuration of the agent that a command starts. The agent calls discovery from its
// membership address, or without membership from the address where it would accept clients.
func (h *hostServer) agentConfig(c *HostCommand) (*config.Config, error) {
	cfg, err := config.Parse(c.Config)
	if err != nil {
		return nil, err
	}
	name := c.Agent
	cfg.DiscoveryLocalIP = callAddress(cfg)
	cfg.Log = h.log.With("agent", name)
	cfg.Hooks.OnList = func(version uint64) { h.reportInForce(name, kindList, version) }
	cfg.Hooks.OnSettings = func(version uint64) { h.reportInForce(name, kindSettings, version) }
	return cfg, nil
}

// listen opens the listeners of an agent: none for clients, and one for the admin endpoint if that is configured.
// It returns false if it can't listen. It reports this as the agent's end, because the command itself is valid.
func (h *hostServer) listen(name string, cfg *config.Config) (listeners agent.Listeners, ok bool) {
	if cfg.AdminAddr == "" {
		return listeners, true
	}
	var err error
	var listenConfig net.ListenConfig
	listeners.Admin, err = listenConfig.Listen(context.Background(), "tcp", cfg.AdminAddr)
	if err != nil {
		h.events.write(HostEvent{Ended: name, Err: fmt.Sprintf("management: %v", err)})
		return listeners, false
	}
	return listeners, true
}

// spawn starts a goroutine that runs an agent.
func (h *hostServer) spawn(name string, a *hollowAgent) {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.ended = ctx.Done()
	h.mu.Lock()
	h.agents[name] = a
	h.mu.Unlock()
	h.events.write(HostEvent{Started: name})
	h.runs.Add(1)
	go func() {
		defer h.runs.Done()
		h.run(ctx, name, a)
	}()
}

// callAddress returns the address from which an agent calls discovery. If it is nil, the system selects one.
func callAddress(cfg *config.Config) net.IP {
	address := cfg.Listen
	if cfg.Membership != nil {
		address = cfg.Membership.Bind
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return cfg.DiscoveryLocalIP
	}
	return net.ParseIP(ip)
}

// run runs an agent until it ends or ctx is canceled, and reports its end.
func (h *hostServer) run(ctx context.Context, name string, a *hollowAgent) {
	defer a.cancel()
	event := HostEvent{Ended: name}
	if err := a.agent.Run(ctx, a.reloads); err != nil && !errors.Is(err, agent.ErrKilled) {
		event.Err = err.Error()
	}
	h.mu.Lock()
	delete(h.agents, name)
	h.mu.Unlock()
	h.events.write(event)
}

// stop starts the graceful shutdown of an agent.
func (h *hostServer) stop(_ *HostCommand, a *hollowAgent) error {
	select {
	case <-a.ended:
		return errShuttingDown
	default:
	}
	a.cancel()
	return nil
}

// kill ends an agent at once.
func (h *hostServer) kill(_ *HostCommand, a *hollowAgent) error {
	a.agent.Kill()
	a.cancel()
	return nil
}

// reload applies another configuration to a running agent.
func (h *hostServer) reload(c *HostCommand, a *hollowAgent) error {
	cfg, err := config.ParseReload(c.Config, a.config)
	if err != nil {
		return err
	}
	select {
	case a.reloads <- cfg:
		a.config = cfg
		return nil
	case <-a.ended:
		return errShuttingDown
	}
}

// reportInForce reports that a version is in force at an agent.
func (h *hostServer) reportInForce(name string, kind capacity.ChangeKind, version uint64) {
	now := time.Now().UnixMicro()
	h.events.write(HostEvent{InForce: &VersionInForce{Agent: name, Kind: kind, Version: version, AtUs: now}})
}
