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

const (
	// suspicionMaxMultiplier is by how much longer a suspicion lasts that no other member shares.
	suspicionMaxMultiplier = 2
	// maxMembersFactor and minMaxMembers bound the known members: a flood of forged names ends there.
	maxMembersFactor = 2
	minMaxMembers    = 64

	// Times in milliseconds, the unit of the configuration.
	secondMs = 1000
	minuteMs = 60 * secondMs
	dayMs    = 24 * 60 * minuteMs

	// The shortest suspicion, and the least default, in probe intervals.
	minSuspectTimeoutProbes     = 4
	defaultSuspectTimeoutProbes = 5
	defaultSuspectTimeoutMs     = 5 * secondMs
)

// Config is the configuration of an agent's membership. The JSON keys are those of the agent's configuration file,
// section "fleet"; times there are whole milliseconds.
type Config struct {
	// Bind is this process's own address for other agents, IP:port, UDP and TCP. Its connections come from it too.
	Bind string `json:"bind"`
	// Advertise is the address that other agents use, IP:port; default: Bind.
	Advertise string `json:"advertise"`
	// Seeds are addresses (IP:port, as advertised) of members by which to find the others. The agent's own address
	// among them is ignored, so that all agents may have one list.
	Seeds []string `json:"seeds"`
	// Site is the label of the site, 1 to 64 bytes: messages of another are dropped.
	Site string `json:"site"`
	// Zone is where this agent is, at most 64 bytes; the other agents see it.
	Zone string `json:"zone"`
	// Networks bounds the addresses that members may have and that anything is sent to, as CIDR; default: no bound.
	Networks []string `json:"networks"`

	// ProbeIntervalMs is how often one other member is probed; default 1,000, 50 to 10,000.
	ProbeIntervalMs int `json:"probe_interval_ms"`
	// SuspectTimeoutMs is how long a silent member is suspected, at least, before it is declared dead; default
	// 5,000, or 5 probe intervals if those are more; from 4 probe intervals to 60,000. A process that stalls for
	// less is never declared dead.
	SuspectTimeoutMs int `json:"suspect_timeout_ms"`
	// SettleMs is how long a member has to be alive in the snapshot before anything is concluded from it; default
	// 2,000, up to 60,000.
	SettleMs int `json:"settle_ms"`
	// ForgetMs is how long a member that is dead or left stays in memberlist's list; default 30,000, from 1,000 to
	// 600,000.
	ForgetMs int `json:"forget_ms"`
	// ReclaimMs is how long a dead member's name is reserved against a process of that name at another address;
	// default 10,000, from 1 to 600,000.
	ReclaimMs int `json:"reclaim_ms"`
	// ReconnectMs is the longest time between two attempts to reach a dead member or a seed, each after a time
	// drawn from zero up to a bound that doubles to this; default 5,000, from 100 to 600,000.
	ReconnectMs int `json:"reconnect_ms"`
	// ReconnectForMs is how long reconnects to a dead member go on; default 86,400,000 (a day), from 1 to 30 days.
	ReconnectForMs int `json:"reconnect_for_ms"`
	// LeaveMs bounds how long announcing a graceful shutdown takes; default 1,500, from 1 to 10,000.
	LeaveMs int `json:"leave_ms"`

	// Name is the agent's name, the same at each start; it comes from the agent, not from the section, as do the
	// fields below.
	Name string `json:"-"`
	// Size is the number of agents that the configuration names (replicasOfMe).
	Size int `json:"-"`
	// Version is the version of the program that this process runs.
	Version string `json:"-"`
	// OnSnapshot is called with each new snapshot, from one goroutine, one at a time; nil: not called.
	OnSnapshot func(*Snapshot) `json:"-"`
	// Clock is the machine's clock; nil: the system's.
	Clock clock.Clock `json:"-"`
	// Log takes this process's log lines; nil: slog.Default().
	Log *slog.Logger `json:"-"`
}

// Parse reads the section "fleet" of the agent's configuration. Its error is a *KeyError.
func Parse(section json.RawMessage) (*Config, error) {
	c := new(Config)
	decoder := json.NewDecoder(bytes.NewReader(section))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(c); err != nil {
		return nil, decodeError(err)
	}
	if err := c.complete(); err != nil {
		return nil, err
	}
	return c, nil
}

// checkAgent checks what comes from the agent and not from the section; its error is a *KeyError.
func (c *Config) checkAgent() error {
	if !isValidName(c.Name) {
		return invalid("name", "must have 1 to %d bytes and neither / nor @, is %q", maxNameBytes, c.Name)
	}
	if c.Size < 1 {
		return invalid("settings.replicasOfMe", "must be 1 at least, is %d", c.Size)
	}
	return nil
}

func (c *Config) clock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

// complete sets the defaults and checks the section's values; its error is a *KeyError.
func (c *Config) complete() error {
	if c.Advertise == "" {
		c.Advertise = c.Bind
	}
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.Site == "" || len(c.Site) > maxLabelBytes {
		return invalid("site", "must have 1 to %d bytes, has %d", maxLabelBytes, len(c.Site))
	}
	if len(c.Zone) > maxLabelBytes {
		return invalid("zone", "may have %d bytes, has %d", maxLabelBytes, len(c.Zone))
	}
	for i, network := range c.Networks {
		if _, _, err := net.ParseCIDR(network); err != nil {
			return invalid(fmt.Sprintf("networks[%d]", i), "%q is no CIDR", network)
		}
	}
	return c.completeTimes()
}

// checkAddresses checks the addresses of this process and of the seeds.
func (c *Config) checkAddresses() error {
	if err := checkAddrPort("bind", c.Bind); err != nil {
		return err
	}
	if err := checkAddrPort("advertise", c.Advertise); err != nil {
		return err
	}
	for i, seed := range c.Seeds {
		if err := checkAddrPort(fmt.Sprintf("seeds[%d]", i), seed); err != nil {
			return err
		}
	}
	return nil
}

// checkAddrPort checks that a key's value is the IP:port of one machine.
func checkAddrPort(key, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return invalid(key, "%q is no IP:port of one machine", value)
	}
	return nil
}

// timeKey is a key of the section with a time, its default and its bounds, all in milliseconds.
type timeKey struct {
	key      string
	value    *int
	fallback int
	min, max int
}

// complete sets the default and checks the value.
func (k timeKey) complete() error {
	if *k.value == 0 {
		*k.value = k.fallback
	}
	if *k.value < k.min || *k.value > k.max {
		return invalid(k.key, "must be from %d to %d, is %d", k.min, k.max, *k.value)
	}
	return nil
}

// completeTimes sets the defaults of the times and checks them. Those of a suspicion depend on the probe interval.
func (c *Config) completeTimes() error {
	probe := timeKey{"probe_interval_ms", &c.ProbeIntervalMs, secondMs, 50, 10 * secondMs}
	if err := probe.complete(); err != nil {
		return err
	}
	suspect := timeKey{
		key:      "suspect_timeout_ms",
		value:    &c.SuspectTimeoutMs,
		fallback: max(defaultSuspectTimeoutMs, defaultSuspectTimeoutProbes*c.ProbeIntervalMs),
		min:      minSuspectTimeoutProbes * c.ProbeIntervalMs,
		max:      minuteMs,
	}
	for _, key := range []timeKey{
		suspect,
		// key, value, default, minimum, maximum
		{"settle_ms", &c.SettleMs, 2 * secondMs, 1, minuteMs},
		{"forget_ms", &c.ForgetMs, 30 * secondMs, secondMs, 10 * minuteMs},
		{"reclaim_ms", &c.ReclaimMs, 10 * secondMs, 1, 10 * minuteMs},
		{"reconnect_ms", &c.ReconnectMs, 5 * secondMs, 100, 10 * minuteMs},
		{"reconnect_for_ms", &c.ReconnectForMs, dayMs, 1, 30 * dayMs},
		{"leave_ms", &c.LeaveMs, 1500, 1, 10 * secondMs},
	} {
		if err := key.complete(); err != nil {
			return err
		}
	}
	return nil
}

// milliseconds is a number of milliseconds as a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// suspicionMultiplier is memberlist's factor by which a suspicion lasts SuspectTimeoutMs at least: memberlist
// multiplies it by the logarithm of the number of members, if that is over one.
func (c *Config) suspicionMultiplier() int {
	return int(math.Ceil(float64(c.SuspectTimeoutMs) / float64(c.ProbeIntervalMs)))
}

// halfSuspicion is half of the time that a suspicion lasts at least: a member that refutes has mostly done so by then.
func (c *Config) halfSuspicion() time.Duration {
	const parts = 2
	return milliseconds(c.SuspectTimeoutMs) / parts
}

// maxSuspicion is how long a suspicion lasts at the most with a number of members.
func (c *Config) maxSuspicion(members int) time.Duration {
	scale := math.Max(1, math.Log10(math.Max(1, float64(members))))
	return time.Duration(suspicionMaxMultiplier * scale * float64(milliseconds(c.SuspectTimeoutMs)))
}

// maxMembers bounds the members that are known.
func (c *Config) maxMembers() int { return max(maxMembersFactor*c.Size, minMaxMembers) }

// networks is Networks parsed; complete has checked them.
func (c *Config) networks() []net.IPNet {
	var networks []net.IPNet
	for _, text := range c.Networks {
		if _, network, err := net.ParseCIDR(text); err == nil {
			networks = append(networks, *network)
		}
	}
	return networks
}
