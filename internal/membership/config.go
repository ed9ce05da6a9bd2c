package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Config says how an agent takes part in its fleet. The JSON keys are those of the agent's
// configuration file, section "fleet"; times there are whole milliseconds.
type Config struct {
	// Bind is this process's own address for other agents, IP:port, UDP and TCP. It is
	// also the address that its calls come from.
	Bind string `json:"bind"`
	// Advertise is the address that others are told, IP:port; default: Bind.
	Advertise string `json:"advertise"`
	// Seeds are addresses (IP:port, as advertised) of members to find the fleet by. Its
	// own address among them is passed over, so that all agents may have one list.
	Seeds []string `json:"seeds"`
	// Site is the label of the fleet, 1 to 64 bytes: members of another are not heard.
	Site string `json:"site"`
	// Zone is where this agent is, at most 64 bytes; it is told to the others.
	Zone string `json:"zone"`
	// Networks bounds the addresses that members may have and that anything is sent to,
	// as CIDR; default: no bound.
	Networks []string `json:"networks"`

	// ProbeIntervalMs is how often one other member is probed; default 1,000, 50 to 10,000.
	ProbeIntervalMs int `json:"probe_interval_ms"`
	// SuspectTimeoutMs is how long a silent member is suspected, at least, before it is
	// declared dead; default 5,000, or 5 probe intervals if those are more; from 4 probe
	// intervals to 60,000. A process that stands still for less is never declared dead.
	SuspectTimeoutMs int `json:"suspect_timeout_ms"`
	// SettleMs is how long a member has to be alive in the view before anything is
	// concluded from it; default 2,000, up to 60,000.
	SettleMs int `json:"settle_ms"`
	// ForgetMs is how long a member that is dead or left stays in the list of the gossip;
	// default 30,000, from 1,000 to 600,000.
	ForgetMs int `json:"forget_ms"`
	// ReclaimMs is how long a name's dead member bars a process of that name at another
	// address; default 10,000, from 1 to 600,000.
	ReclaimMs int `json:"reclaim_ms"`
	// ReconnectMs is the most that passes between two tries to reach a dead member or a
	// seed, each after a time drawn from zero up to a bound that doubles to this; default
	// 5,000, from 100 to 600,000.
	ReconnectMs int `json:"reconnect_ms"`
	// ReconnectForMs is how long a dead member is tried before it is given up; default
	// 86,400,000 (a day), from 1 to 30 days.
	ReconnectForMs int `json:"reconnect_for_ms"`
	// LeaveMs bounds how long telling the others takes at an orderly end; default 1,500,
	// from 1 to 10,000.
	LeaveMs int `json:"leave_ms"`

	// Name is the agent's name, the same at each start; Size the number of agents that the
	// configuration names (replicasOfMe); Version what this process runs. They come from
	// the agent, not from the section.
	Name    string `json:"-"`
	Size    int    `json:"-"`
	Version string `json:"-"`
	// OnView is called with each new view, from a goroutine of the fleet's own, one at a
	// time; nil: nobody is told.
	OnSnapshot func(*Snapshot) `json:"-"`
	// Clock is the machine's; nil: the system's.
	Clock clock.Clock `json:"-"`
	// Log takes this process's lines; nil: slog.Default().
	Log *slog.Logger `json:"-"`
}

// Parse reads the section "fleet" of the agent's configuration; an unknown key or a value
// that makes no sense is an error that names it.
func Parse(section json.RawMessage) (*Config, error) {
	c := new(Config)
	dec := json.NewDecoder(bytes.NewReader(section))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return c, c.complete()
}

// checkAgent checks what comes from the agent and not from the section.
func (c *Config) checkAgent() error {
	if !isValidName(c.Name) {
		return fmt.Errorf("fleet: name %q: must have 1 to %d bytes and neither / nor @", c.Name, maxNameBytes)
	}
	if c.Size < 1 {
		return fmt.Errorf("fleet: the size of the fleet must be 1 at least, is %d", c.Size)
	}
	return nil
}

func (c *Config) clock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

// complete sets the defaults and checks what the section gives.
func (c *Config) complete() error {
	if c.Advertise == "" {
		c.Advertise = c.Bind
	}
	addrs := [][2]string{{"bind", c.Bind}, {"advertise", c.Advertise}}
	for i, s := range c.Seeds {
		addrs = append(addrs, [2]string{fmt.Sprintf("seeds[%d]", i), s})
	}
	for _, a := range addrs {
		at, err := netip.ParseAddrPort(a[1])
		if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() {
			return fmt.Errorf("fleet: %s: %q is no IP:port of one machine", a[0], a[1])
		}
	}
	if c.Site == "" || len(c.Site) > 64 {
		return fmt.Errorf("fleet: site: must have 1 to 64 bytes, has %d", len(c.Site))
	}
	if len(c.Zone) > 64 {
		return fmt.Errorf("fleet: zone: may have 64 bytes, has %d", len(c.Zone))
	}
	for i, s := range c.Networks {
		if _, _, err := net.ParseCIDR(s); err != nil {
			return fmt.Errorf("fleet: networks[%d]: %q is no CIDR", i, s)
		}
	}
	if c.ProbeIntervalMs == 0 {
		c.ProbeIntervalMs = 1000
	}
	for _, t := range []struct {
		key          string
		ms           *int
		def, lo, top int
	}{
		{"probe_interval_ms", &c.ProbeIntervalMs, 1000, 50, 10_000},
		{"suspect_timeout_ms", &c.SuspectTimeoutMs, max(5000, 5*c.ProbeIntervalMs), 4 * c.ProbeIntervalMs, 60_000},
		{"settle_ms", &c.SettleMs, 2000, 1, 60_000},
		{"forget_ms", &c.ForgetMs, 30_000, 1000, 600_000},
		{"reclaim_ms", &c.ReclaimMs, 10_000, 1, 600_000},
		{"reconnect_ms", &c.ReconnectMs, 5000, 100, 600_000},
		{"reconnect_for_ms", &c.ReconnectForMs, 86_400_000, 1, 30 * 86_400_000},
		{"leave_ms", &c.LeaveMs, 1500, 1, 10_000},
	} {
		if *t.ms == 0 {
			*t.ms = t.def
		}
		if *t.ms < t.lo || *t.ms > t.top {
			return fmt.Errorf("fleet: %s: must be from %d to %d, is %d", t.key, t.lo, t.top, *t.ms)
		}
	}
	return nil
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// suspicionMult is memberlist's factor by which a suspicion lasts SuspectTimeoutMs at
// least: it scales that up with the logarithm of the fleet, never down.
func (c *Config) suspicionMultiplier() int {
	return int(math.Ceil(float64(c.SuspectTimeoutMs) / float64(c.ProbeIntervalMs)))
}

// suspicionMax is by how much longer a suspicion lasts that nobody else shares.
const suspicionMaxMultiplier = 2

// longestSuspicion is how long a suspicion lasts at the most in a fleet of so many members.
func (c *Config) maxSuspicion(members int) time.Duration {
	scale := math.Max(1, math.Log10(math.Max(1, float64(members))))
	return time.Duration(suspicionMaxMultiplier * scale * float64(milliseconds(c.SuspectTimeoutMs)))
}

// maxMembers bounds the members that are known: a forged flood of names ends there.
func (c *Config) maxMembers() int { return max(2*c.Size, 64) }

// networks is Networks parsed; complete has checked them.
func (c *Config) networks() (nets []net.IPNet) {
	for _, s := range c.Networks {
		if _, n, err := net.ParseCIDR(s); err == nil {
			nets = append(nets, *n)
		}
	}
	return nets
}
