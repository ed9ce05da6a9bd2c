package processtest

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
)

// The port names of a discovery instance's listeners.
const (
	RaftPort  = "raft"
	HTTPPort  = "http"
	AdminPort = "admin"
)

// discoveryFileMode is the mode of an instance's configuration file.
const discoveryFileMode = 0o600

// DiscoveryPorts returns the Config.Ports of discovery instances.
func DiscoveryPorts() []string { return []string{RaftPort, HTTPPort, AdminPort} }

// DiscoveryFile is the part of a discovery instance's configuration file that tests use. An omitted key has the
// instance's default value.
type DiscoveryFile struct {
	ID        string `toml:"id"`
	DataDir   string `toml:"data_dir"`
	RaftAddr  string `toml:"raft_addr"`
	HTTPAddr  string `toml:"http_addr"`
	AdminAddr string `toml:"admin_addr"`
	Bootstrap bool   `toml:"bootstrap"`

	MaxStale        time.Duration `toml:"max_stale,omitzero"`        // 0 omits the key
	ElectionTimeout time.Duration `toml:"election_timeout,omitzero"` // 0 omits the key
	TrailingLogs    uint64        `toml:"trailing_logs,omitzero"`    // 0 omits the key

	Peers []DiscoveryPeer `toml:"peers"`
}

// DiscoveryPeer has the addresses at which an instance reaches another one.
type DiscoveryPeer struct {
	ID    string `toml:"id"`
	Raft  string `toml:"raft"`
	Admin string `toml:"admin"`
}

// DiscoveryFile returns the configuration of an instance of a cluster whose ports are DiscoveryPorts. The first
// instance bootstraps the service. The instance reaches the others' Raft listeners through links, and keeps its data
// in DIR/NAME.
func (c *Cluster) DiscoveryFile(name string) (DiscoveryFile, error) {
	file := c.DirectDiscoveryFile(name)
	for i, peer := range file.Peers {
		link, err := c.Link(name, peer.ID, RaftPort)
		if err != nil {
			return file, err
		}
		file.Peers[i].Raft = link.Addr()
	}
	return file, nil
}

// DirectDiscoveryFile is like Cluster.DiscoveryFile without links: the instance reaches the others' Raft listeners
// directly.
func (c *Cluster) DirectDiscoveryFile(name string) DiscoveryFile {
	file := DiscoveryFile{
		ID:        name,
		DataDir:   filepath.Join(c.cfg.Dir, name),
		RaftAddr:  "fd:3",
		HTTPAddr:  "fd:4",
		AdminAddr: "fd:5",
		Bootstrap: name == c.cfg.Names[0],
	}
	for _, peer := range c.cfg.Names {
		if peer == name {
			continue
		}
		file.Peers = append(file.Peers, DiscoveryPeer{
			ID:    peer,
			Raft:  c.Addr(peer, RaftPort),
			Admin: c.Addr(peer, AdminPort),
		})
	}
	return file
}

// Write writes the file to path.
func (f DiscoveryFile) Write(path string) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(f); err != nil {
		return err
	}
	return os.WriteFile(path, text.Bytes(), discoveryFileMode)
}
