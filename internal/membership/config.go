package membership

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

const (
	// suspicionMaxMultiplier is how many times longer a suspicion lasts if no other member confirms it.
	suspicionMaxMultiplier = 2
	// maxMembersFactor and minMaxMembers bound the number of known members, and so the effect of forged names.
	maxMembersFactor = 2
	minMaxMembers    = 64

	// Units of time in milliseconds, the unit of the configuration.
	secondMs = 1000
	minuteMs = 60 * secondMs
	dayMs    = 24 * 60 * minuteMs

	// minSuspectTimeoutProbes and defaultSuspectTimeoutProbes are the minimum of SuspectTimeoutMs and the lower bound
	// of its default, in probe intervals.
	minSuspectTimeoutProbes     = 4
	defaultSuspectTimeoutProbes = 5
	defaultSuspectTimeoutMs     = 5 * secondMs
)

// Config is the configuration of an agent's membership. The JSON keys are those of section "fleet" of the agent's
// configuration file; times are whole milliseconds.
type Config struct {
	// Bind is the address (IP:port) on which this process listens for other agents, on UDP and TCP, and from which it
	// sends and connects.
	Bind string `json:"bind"`
	// Advertise is the address (IP:port) that other agents use; it defaults to Bind.
	Advertise string `json:"advertise"`
	// Seeds are the advertised addresses (IP:port) of members through which to find the others. The agent's own
	// address is ignored, so that all agents can share one list.
	Seeds []string `json:"seeds"`
	// Site is the label of the site, 1 to 64 bytes. Messages with another label are dropped.
	Site string `json:"site"`
	// Zone is the zone of this agent, at most 64 bytes; it is announced to the other agents.
	Zone string `json:"zone"`
	// Networks lists, in CIDR notation, the networks in which members may have their addresses. Nothing is sent to any
	// other network. If it is empty, all networks are allowed.
	Networks []string `json:"networks"`

	// ProbeIntervalMs is the interval at which one other member is probed; default 1,000, from 50 to 10,000.
	ProbeIntervalMs int `json:"probe_interval_ms"`
	// SuspectTimeoutMs is the minimum time for which a silent member is suspected before it is declared dead; default
	// 5,000 or 5 probe intervals, whichever is more; from 4 probe intervals to 60,000. A process that stalls for less
	// is never declared dead.
	SuspectTimeoutMs int `json:"suspect_timeout_ms"`
	// SettleMs is how long a member must have been alive in the snapshot before an Assessment counts it; default
	// 2,000, from 1 to 60,000.
	SettleMs int `json:"settle_ms"`
	// ForgetMs is how long a member that is dead or has left stays in memberlist's list; default 30,000, from 1,000
	// to 600,000.
	ForgetMs int `json:"forget_ms"`
	// ReclaimMs is how long a dead member's name can't be taken by a process at another address; default 10,000, from
	// 1 to 600,000.
	ReclaimMs int `json:"reclaim_ms"`
	// ReconnectMs is the maximum time between two attempts to reach a dead member or a seed: each attempt waits for a
	// random time below a bound that doubles up to this value; default 5,000, from 100 to 600,000.
	ReconnectMs int `json:"reconnect_ms"`
	// ReconnectForMs is how long reconnects to a dead member are attempted; default 86,400,000 (a day), from 1 to
	// 2,592,000,000 (30 days).
	ReconnectForMs int `json:"reconnect_for_ms"`
	// LeaveMs bounds the time for announcing a graceful shutdown; default 1,500, from 1 to 10,000.
	LeaveMs int `json:"leave_ms"`

	// Name is the agent's name, the same at each start. It is set by the agent and not by the section, as are the
	// fields below.
	Name string `json:"-"`
	// Size is the fleet size at the start: the number of agents according to the service settings (replicasOfMe).
	Size int `json:"-"`
	// Version is the program version of this process.
	Version string `json:"-"`
	// OnSnapshot, if not nil, is called with each new snapshot, always from the same goroutine.
	OnSnapshot func(*Snapshot) `json:"-"`
	// Clock is the machine's clock; if nil, the system clock.
	Clock clock.Clock `json:"-"`
	// Log is the logger of this process; if nil, slog.Default().
	Log *slog.Logger `json:"-"`

	changedSize *atomic.Int64 // the fleet size that has replaced Size; 0 or nil if none has
}

// Parse decodes section "fleet" of the agent's configuration, sets defaults and checks the values. Any error is a
// *KeyError.
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

// checkAgent checks the fields that are set by the agent and not by the section. Any error is a *KeyError.
func (c *Config) checkAgent() error {
	if !isValidName(c.Name) {
		return invalid("name", "must have 1 to %d bytes and neither / nor @, is %q", maxNameBytes, c.Name)
	}
	if c.Size < 1 {
		return invalid("settings.replicasOfMe", "must be at least 1, is %d", c.Size)
	}
	return nil
}

func (c *Config) clock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

// complete sets the defaults and checks the section's values. Any error is a *KeyError.
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
		return invalid("zone", "must have at most %d bytes, has %d", maxLabelBytes, len(c.Zone))
	}
	for i, network := range c.Networks {
		if _, _, err := net.ParseCIDR(network); err != nil {
			return invalid(fmt.Sprintf("networks[%d]", i), "%q is not a network in CIDR notation", network)
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

// checkAddrPort checks that a key's value is an IP:port whose IP is not the unspecified address.
func checkAddrPort(key, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		return invalid(key, "must be an IP:port with a specified IP and a nonzero port, is %q", value)
	}
	return nil
}

// timeKey is a key of the section whose value is a time, with its default and its bounds, all in milliseconds.
type timeKey struct {
	key       string
	value     *int
	defaultMs int
	min, max  int
}

// complete sets the default if the value is zero, and checks the value.
func (k timeKey) complete() error {
	if *k.value == 0 {
		*k.value = k.defaultMs
	}
	if *k.value < k.min || *k.value > k.max {
		return invalid(k.key, "must be from %d to %d, is %d", k.min, k.max, *k.value)
	}
	return nil
}

// completeTimes sets the defaults of the times and checks them. The default and the minimum of the suspect timeout
// depend on the probe interval.
func (c *Config) completeTimes() error {
	probe := timeKey{"probe_interval_ms", &c.ProbeIntervalMs, secondMs, 50, 10 * secondMs}
	if err := probe.complete(); err != nil {
		return err
	}
	suspect := timeKey{
		key:       "suspect_timeout_ms",
		value:     &c.SuspectTimeoutMs,
		defaultMs: max(defaultSuspectTimeoutMs, defaultSuspectTimeoutProbes*c.ProbeIntervalMs),
		min:       minSuspectTimeoutProbes * c.ProbeIntervalMs,
		max:       minuteMs,
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

// milliseconds returns n milliseconds as a duration.
func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// suspicionMultiplier returns the SuspicionMult of memberlist, in probe intervals, with which a suspicion lasts at
// least SuspectTimeoutMs. It may last longer, because memberlist also multiplies SuspicionMult by the decimal logarithm
// of the number of members if that logarithm is above one.
func (c *Config) suspicionMultiplier() int {
	return int(math.Ceil(float64(c.SuspectTimeoutMs) / float64(c.ProbeIntervalMs)))
}

// halfSuspicion returns half of the minimum duration of a suspicion. A member that refutes the suspicion has usually
// done so by then.
func (c *Config) halfSuspicion() time.Duration {
	const parts = 2
	return milliseconds(c.SuspectTimeoutMs) / parts
}

// maxSuspicion returns the maximum duration of a suspicion with the given number of members.
func (c *Config) maxSuspicion(members int) time.Duration {
	scale := math.Max(1, math.Log10(math.Max(1, float64(members))))
	return time.Duration(suspicionMaxMultiplier * scale * float64(milliseconds(c.SuspectTimeoutMs)))
}

// maxMembers returns the maximum number of known members.
func (c *Config) maxMembers() int { return max(maxMembersFactor*c.fleetSize(), minMaxMembers) }

// fleetSize returns the fleet size in force.
func (c *Config) fleetSize() int {
	if c.changedSize == nil || c.changedSize.Load() == 0 {
		return c.Size
	}
	return int(c.changedSize.Load())
}

// networks returns Networks, parsed; complete has checked them.
func (c *Config) networks() []net.IPNet {
	var networks []net.IPNet
	for _, text := range c.Networks {
		if _, network, err := net.ParseCIDR(text); err == nil {
			networks = append(networks, *network)
		}
	}
	return networks
}
