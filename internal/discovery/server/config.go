package server

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Peer is another instance: its Raft address as this one reaches it, and its admin address,
// where writes are redirected while it leads.
type Peer struct {
	ID    string `toml:"id"`
	Raft  string `toml:"raft"`
	Admin string `toml:"admin"`
}

// Config is one instance's settings, read from TOML by Load. Addresses are host:port on
// loopback or any address, or "fd:N" for a listener inherited as file descriptor N.
type Config struct {
	ID        string `toml:"id"`
	DataDir   string `toml:"data_dir"`   // Raft log, stable store and snapshots
	RaftAddr  string `toml:"raft_addr"`  // Raft's own traffic
	HTTPAddr  string `toml:"http_addr"`  // GET /api/targets: reads and watches
	AdminAddr string `toml:"admin_addr"` // writes and status
	// Bootstrap makes this instance found the cluster of itself and Peers, once: on a
	// data directory that has Raft state it does nothing.
	Bootstrap bool `toml:"bootstrap"`
	// MaxStale bounds how old a follower's read may be: one that has not heard from a
	// leader for longer answers 503. Default 2 s. A leader cut off from the majority
	// steps down within Raft's leader lease (0.5 s), so reads are at most MaxStale + 0.5 s
	// behind.
	MaxStale time.Duration `toml:"max_stale"`
	// ElectionTimeout is Raft's heartbeat and election timeout; the leader lease is half of
	// it. Shorter fails over sooner and elects needlessly on a busy machine. Default 1 s.
	ElectionTimeout time.Duration `toml:"election_timeout"`
	// KeepChanges bounds the changes kept for watches; a watch from before them gets
	// the whole list. Default 4096.
	KeepChanges int `toml:"keep_changes"`
	// SnapshotEvery is the number of log entries after which a snapshot is taken and the
	// log compacted, keeping TrailingLogs of them. Defaults 8192 and 1024.
	SnapshotEvery uint64 `toml:"snapshot_every"`
	TrailingLogs  uint64 `toml:"trailing_logs"`
	Peers         []Peer `toml:"peers"`
	// WrapStore, if set, is given the store that the instance opened and gives the one it uses:
	// tests inject faults by it. No file sets it.
	WrapStore func(Store) Store `toml:"-"`
}

// Load reads a TOML file into a Config with its defaults and checks it. The error names
// the key that is unknown, missing or makes no sense.
func Load(path string) (Config, error) {
	var c Config
	md, err := toml.DecodeFile(path, &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return c, fmt.Errorf("%s: unknown key %q", path, extra[0].String())
	}
	c.defaults()
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) defaults() {
	if c.MaxStale == 0 {
		c.MaxStale = 2 * time.Second
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = time.Second
	}
	if c.KeepChanges == 0 {
		c.KeepChanges = 4096
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = 8192
	}
	if c.TrailingLogs == 0 {
		c.TrailingLogs = 1024
	}
}

// Validate returns an error that names the first key that makes no sense.
func (c *Config) Validate() error {
	switch {
	case c.ID == "":
		return errors.New("key id: missing")
	case c.DataDir == "":
		return errors.New("key data_dir: missing")
	case c.MaxStale < 0:
		return errors.New("key max_stale: below zero")
	case c.ElectionTimeout < 10*time.Millisecond:
		return errors.New("key election_timeout: under 10 ms")
	case c.KeepChanges < 1:
		return errors.New("key keep_changes: below one")
	}
	for key, addr := range map[string]string{"raft_addr": c.RaftAddr, "http_addr": c.HTTPAddr,
		"admin_addr": c.AdminAddr} {
		if err := validateAddress(addr); err != nil {
			return fmt.Errorf("key %s: %w", key, err)
		}
	}
	seen := map[string]bool{c.ID: true}
	for i, p := range c.Peers {
		if p.ID == "" || seen[p.ID] {
			return fmt.Errorf("key peers[%d].id: missing or named twice", i)
		}
		seen[p.ID] = true
		if err := validateAddress(p.Raft); err != nil {
			return fmt.Errorf("key peers[%d].raft: %w", i, err)
		}
		if err := validateAddress(p.Admin); err != nil {
			return fmt.Errorf("key peers[%d].admin: %w", i, err)
		}
	}
	return nil
}

func validateAddress(addr string) error {
	if strings.HasPrefix(addr, "fd:") {
		return nil
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%q is not host:port or fd:N", addr)
	}
	return nil
}
