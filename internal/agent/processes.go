package agent

import (
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// The agent's part in the relation between its processes: during an upgrade two of them run side by side, share the
// limits and hand over what they know.

// joinProcesses prepares for other processes of the agent if the client listener is shared with them. It returns the
// configuration with what another process has handed over.
func (a *Agent) joinProcesses(cfg *config.Config) (*config.Config, error) {
	if !a.listeners.Shared {
		return cfg, nil
	}
	lock, err := openProcessLock(a.listeners.LockPath)
	if err != nil {
		return nil, err
	}
	a.lock = lock
	if a.listeners.HandoverPath == "" {
		return cfg, nil
	}
	cfg = cfg.WithSavedState()
	a.handover = newStateHandover(cfg, a.listeners.HandoverPath)
	cfg = a.handover.inherit(cfg, !lock.held)
	if onMemoryLimit := cfg.Hooks.OnMemoryLimit; onMemoryLimit != nil {
		onMemoryLimit(cfg.MemoryLimit())
	}
	return cfg, nil
}

// newSharedLimits returns the limits that this process shares with another process of the same agent.
func (a *Agent) newSharedLimits() *sharedLimits {
	limits := &sharedLimits{
		cfg:        a.cfg,
		admin:      a.admin,
		downstream: a.downstream,
		pool:       a.pool,
		quotas:     a.quotas(),
	}
	if a.handover != nil {
		limits.observer = a.handover
	}
	return limits
}

// quotas returns all quotas of the process.
func (a *Agent) quotas() []message.Quota {
	quotas := append(a.bodyBudgets(), a.downstream.ConnSlots(), a.pool.Streams())
	return append(quotas, a.downstream.RequestBudgets()...)
}

// bodyBudgets returns the quotas that limit the bytes of buffered request bodies and response bodies.
func (a *Agent) bodyBudgets() []message.Quota {
	return []message.Quota{a.downstream.BodyBudget(), a.pool.BodyBudget()}
}
