package server

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Defaults and bounds of a Config.
const (
	defaultMaxStale        = 2 * time.Second
	defaultElectionTimeout = time.Second
	minElectionTimeout     = 10 * time.Millisecond
	defaultKeepChanges     = 4096
	defaultSnapshotEvery   = 8192
	defaultTrailingLogs    = 1024
)

// Peer is another instance of the cluster. RaftAddr is the Raft address at which this instance reaches
// it; AdminAddr is its admin address, to which writes are redirected while it is the leader.
type Peer struct {
	ID        string `toml:"id"`
	RaftAddr  string `toml:"raft"`
	AdminAddr string `toml:"admin"`
}

// Config is the configuration of an instance, which Load reads from a TOML file. An address is
// host:port, or "fd:N" for a listener inherited as file descriptor N.
type Config struct {
	ID        string `toml:"id"`
	DataDir   string `toml:"data_dir"`   // directory of Raft's log, stable store and snapshots
	RaftAddr  string `toml:"raft_addr"`  // for the other instances
	HTTPAddr  string `toml:"http_addr"`  // GET /api/targets: reads and watches
	AdminAddr string `toml:"admin_addr"` // writes, settings and status
	// Bootstrap makes this instance bootstrap the cluster, which consists of it and Peers. It has
	// no effect if the data directory already has Raft state.
	Bootstrap bool `toml:"bootstrap"`
	// MaxStale bounds the staleness of a follower's reads: a follower that has had no contact with a
	// leader for longer than this responds with 503. The default is 2 s. A leader that is partitioned from
	// the majority steps down within Raft's leader lease (0.5 s by default), so reads are at most MaxStale
	// + 0.5 s old.
	MaxStale time.Duration `toml:"max_stale"`
	// ElectionTimeout is Raft's heartbeat and election timeout; the leader lease is half of it. A
	// shorter timeout makes failover faster but causes unnecessary elections on a busy machine. The
	// default is 1 s.
	ElectionTimeout time.Duration `toml:"election_timeout"`
	// KeepChanges bounds the number of changes that are kept for watches; a watch from an older
	// version gets the full list. The default is 4096.
	KeepChanges int `toml:"keep_changes"`
	// SnapshotEvery is the number of log entries after which a snapshot is taken and the log is
	// compacted to the last TrailingLogs entries. The defaults are 8192 and 1024.
	SnapshotEvery uint64 `toml:"snapshot_every"`
	TrailingLogs  uint64 `toml:"trailing_logs"`
	Peers         []Peer `toml:"peers"`
	// WrapStore, if not nil, wraps the instance's store. Tests use it to inject faults. It is not
	// part of the configuration file.
	WrapStore func(Store) Store `toml:"-"`
}

// KeyError reports a configuration key that is missing or invalid.
type KeyError struct {
	Key     string // such as "peers[0].raft"
	Problem string
}

// Error returns the key and what is wrong with it.
func (e *KeyError) Error() string { return fmt.Sprintf("key %s: %s", e.Key, e.Problem) }

// Load reads a Config from a TOML file, applies the defaults and validates it. The error includes the
// key that is unknown, missing or invalid.
func Load(path string) (Config, error) {
	var c Config
	metadata, err := toml.DecodeFile(path, &c)
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return c, fmt.Errorf("%s: unknown key %q", path, unknown[0].String())
	}
	c.setDefaults()
	if err := c.Validate(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// setDefaults sets each absent key that has a default.
func (c *Config) setDefaults() {
	if c.MaxStale == 0 {
		c.MaxStale = defaultMaxStale
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.KeepChanges == 0 {
		c.KeepChanges = defaultKeepChanges
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.TrailingLogs == 0 {
		c.TrailingLogs = defaultTrailingLogs
	}
}

// Validate returns a KeyError for the first key that is missing or invalid.
func (c *Config) Validate() error {
	switch {
	case c.ID == "":
		return &KeyError{Key: "id", Problem: "missing"}
	case c.DataDir == "":
		return &KeyError{Key: "data_dir", Problem: "missing"}
	case c.MaxStale < 0:
		return &KeyError{Key: "max_stale", Problem: "must not be negative"}
	case c.ElectionTimeout < minElectionTimeout:
		return &KeyError{Key: "election_timeout", Problem: "must be at least 10 ms"}
	case c.KeepChanges < 1:
		return &KeyError{Key: "keep_changes", Problem: "must be at least 1"}
	}
	if err := validateAddress("raft_addr", c.RaftAddr); err != nil {
		return err
	}
	if err := validateAddress("http_addr", c.HTTPAddr); err != nil {
		return err
	}
	if err := validateAddress("admin_addr", c.AdminAddr); err != nil {
		return err
	}
	return c.validatePeers()
}

// validatePeers returns a KeyError for the first invalid id or address of a peer.
func (c *Config) validatePeers() error {
	ids := map[string]bool{c.ID: true}
	for i, peer := range c.Peers {
		if peer.ID == "" || ids[peer.ID] {
			return &KeyError{Key: fmt.Sprintf("peers[%d].id", i), Problem: "missing or duplicate"}
		}
		ids[peer.ID] = true
		if err := validateAddress(fmt.Sprintf("peers[%d].raft", i), peer.RaftAddr); err != nil {
			return err
		}
		if err := validateAddress(fmt.Sprintf("peers[%d].admin", i), peer.AdminAddr); err != nil {
			return err
		}
	}
	return nil
}

// validateAddress returns a KeyError if the key's value is not an address.
func validateAddress(key, address string) error {
	if strings.HasPrefix(address, inheritedPrefix) {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &KeyError{Key: key, Problem: fmt.Sprintf("%q is not host:port or fd:N", address)}
	}
	return nil
}
