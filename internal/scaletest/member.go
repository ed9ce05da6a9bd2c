package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
)

// The ports of an agent. Each agent has its own address. The ports are below the range that the system selects from for
// outgoing connections.
const (
	clientPort     = 8000
	adminPort      = 8001
	membershipPort = 19998
)

// member is a hollow or real agent of a fleet.
type member struct {
	name    string
	index   int
	zone    int
	host    *hostProcess // nil for a real agent
	ip      string
	config  json.RawMessage
	service string // the service whose settings it uses; empty: it uses those of its configuration file

	running bool // guarded by fleet.mu
	busy    bool // being started or ended; guarded by fleet.mu
}

// hollow reports whether the member is a hollow agent, which runs in a host process.
func (m *member) hollow() bool { return m.host != nil }

// idle reports whether the member runs and is not busy. The caller must hold fleet.mu.
func (m *member) idle() bool { return m.running && !m.busy }

// address returns the member's address with a port.
func (m *member) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// startMember starts a member that is not running.
func (f *fleet) startMember(ctx context.Context, m *member) error {
	var err error
	if m.hollow() {
		start := HostCommand{Command: commandStart, Agent: m.name, Config: m.config}
		err = m.host.command(ctx, start, startedEvent(m.name))
	} else {
		err = f.realAgents.start(ctx, m.name, m.address(clientPort))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.running = err == nil
	m.busy = false
	return err
}

// terminateMember ends a running member gracefully, as SIGTERM does.
func (f *fleet) terminateMember(ctx context.Context, m *member) error {
	return f.endMember(ctx, m, commandStop, f.realAgents.Term)
}

// killMember ends a running member immediately, as SIGKILL does.
func (f *fleet) killMember(ctx context.Context, m *member) error {
	return f.endMember(ctx, m, commandKill, f.realAgents.Kill)
}

// endMember ends a running member: a hollow agent by a command, a real one by a signal that endProcess sends. Versions
// that come into force at the member from then on are not counted.
func (f *fleet) endMember(
	ctx context.Context, m *member, command commandName, endProcess func(name string) error,
) error {
	if err := f.saveCounters(ctx, m); err != nil {
		return fmt.Errorf("read counters before the end: %w", err)
	}
	f.trackers.forEach(func(t *tracker) { t.stopping(m.name) })
	f.mu.Lock()
	m.running = false
	f.mu.Unlock()
	if m.hollow() {
		return m.host.command(ctx, HostCommand{Command: command, Agent: m.name}, endedEvent(m.name))
	}
	return errors.Join(endProcess(m.name), f.realAgents.finishLog(m.name))
}

// restartMember ends a member gracefully and starts it again.
func (f *fleet) restartMember(ctx context.Context, m *member) error {
	if err := f.terminateMember(ctx, m); err != nil {
		return err
	}
	return f.startMember(ctx, m)
}

// takeIdleMember selects a random idle member and marks it busy. It returns nil if no member is idle.
func (f *fleet) takeIdleMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	idle := f.selectMembers((*member).idle)
	if len(idle) == 0 {
		return nil
	}
	m := idle[f.random.IntN(len(idle))]
	m.busy = true
	return m
}

// takeIdleInZone marks all idle members of a zone busy and returns them.
func (f *fleet) takeIdleInZone(zone int) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.selectMembers(func(m *member) bool { return m.zone == zone && m.idle() })
	for _, m := range taken {
		m.busy = true
	}
	return taken
}

// runningMembers returns the members that are running.
func (f *fleet) runningMembers() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selectMembers(func(m *member) bool { return m.running })
}

// endedMembers returns the members that are not running.
func (f *fleet) endedMembers() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selectMembers(func(m *member) bool { return !m.running })
}

// selectMembers returns the members for which fits returns true. The caller must hold f.mu.
func (f *fleet) selectMembers(fits func(*member) bool) []*member {
	var selected []*member
	for _, m := range f.members {
		if fits(m) {
			selected = append(selected, m)
		}
	}
	return selected
}
