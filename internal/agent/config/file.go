package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// minMemoryMB is the smallest allowed memory limit, in MiB.
	minMemoryMB = 16
	// revisionLength is the length of an abbreviated commit hash.
	revisionLength = 12
)

// configFile is the content of the file that $PROXY_CONFIG names.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"management"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known      endpoint.List   `json:"known"`
	Membership json.RawMessage `json:"fleet"`
	Control    json.RawMessage `json:"control"`
	Settings   json.RawMessage `json:"settings"`

	document document // the whole file
	sum      uint32   // checksum of its text
}

// checksums is the polynomial of the checksum of a file, CRC-32C.
var checksums = crc32.MakeTable(crc32.Castagnoli)

// Load reads the configuration from the environment and from the file that $PROXY_CONFIG names. Values of the
// environment take precedence, because the platform sets them for this start.
func Load(getenv func(string) string) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	choice := handover.FirstChoice(getenv("PROXY_DISCOVERY"), f.Discovery)
	f.Discovery = choice.Address()
	overrides := map[string]*string{
		"PROXY_NAME":       &f.Name,
		"PROXY_LISTEN":     &f.Listen,
		"PROXY_MANAGEMENT": &f.Admin,
	}
	for name, field := range overrides {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	c.DiscoveryChoice = choice
	return c, nil
}

// Reload reads the file again while the agent is running. Values of the file take precedence over the environment,
// because the file is newer. A key that is present in the configuration in force but missing from the file is an error:
// it would be read as a zero value that nobody has set.
func Reload(getenv func(string) string, inForce *Config) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return f.reloaded(inForce)
}

// Parse parses and validates a configuration in the format of the file. Errors name the key.
func Parse(text []byte) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return f.config()
}

// ParseReload parses a configuration that replaces the one in force, by the rules of Reload.
func ParseReload(text []byte, inForce *Config) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return f.reloaded(inForce)
}

// reloaded returns the configuration that replaces the one in force.
func (f *configFile) reloaded(inForce *Config) (*Config, error) {
	if key := inForce.document.missingIn(f.document, ""); key != "" {
		return nil, fmt.Errorf("config: %s: missing, though it was there before", key)
	}
	return f.config()
}

// readFile reads and decodes the file that the environment names.
func readFile(getenv func(string) string) (*configFile, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, errors.New("config: PROXY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return f, nil
}

// parseFile decodes a file without validating it.
func parseFile(text []byte) (*configFile, error) {
	f := &configFile{sum: crc32.Checksum(text, checksums)}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &f.document); err != nil {
		return nil, err
	}
	return f, nil
}

// config validates the file and returns its configuration. Errors name the key.
func (f *configFile) config() (*Config, error) {
	c := &Config{
		Name:            f.Name,
		Listen:          f.Listen,
		Discovery:       f.Discovery,
		DiscoveryChoice: handover.FirstChoice("", f.Discovery),
		FileSum:         f.sum,
		AdminAddr:       f.Admin,
		Cores:           f.Limits.Cores,
		MemoryMB:        f.Limits.MemoryMB,
		Sockets:         f.Limits.Sockets,
		InitialList:     f.Known,
		document:        f.document,
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("config: seed: %q is not a 64-bit hexadecimal number", f.Seed)
	}
	c.Seed = seed
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := c.parseControlSection(f.Control); err != nil {
		return nil, err
	}
	if err := c.parseFleetSection(f.Membership); err != nil {
		return nil, err
	}
	return c, nil
}

// checkAddresses validates the addresses that the agent listens on and calls.
func (c *Config) checkAddresses() error {
	addresses := []struct{ key, value string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"management", c.AdminAddr},
	}
	for _, address := range addresses {
		if address.key == "management" && address.value == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(address.value); err != nil || port == "" {
			return fmt.Errorf("config: %s: %q is not a host:port address", address.key, address.value)
		}
	}
	return nil
}

// checkLimits validates the limits of the process.
func (c *Config) checkLimits() error {
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return fmt.Errorf("config: limits.cores: must be a finite number above 0, is %v", c.Cores)
	case c.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: must be at least %d, is %d", minMemoryMB, c.MemoryMB)
	case c.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: must be at least %d, is %d", minSockets, c.Sockets)
	}
	return nil
}

// parseControlSection parses the section "control", if there is one.
func (c *Config) parseControlSection(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	control, err := parseControl(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if c.Name == "" {
		return errors.New("config: name: missing, required by control")
	}
	c.Control = control
	return nil
}

// parseFleetSection parses the section "fleet", if there is one.
func (c *Config) parseFleetSection(text json.RawMessage) error {
	if len(text) == 0 {
		return nil
	}
	fleet, err := membership.Parse(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if minimum := minSockets + membership.MaxDescriptors; c.Sockets < minimum {
		return fmt.Errorf("config: limits.sockets: must be at least %d with a fleet, is %d", minimum, c.Sockets)
	}
	fleet.Name = c.Name
	fleet.Size = c.Settings.FleetSize
	fleet.Version = buildRevision()
	c.Membership = fleet
	if err := c.checkFleetSize(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	return nil
}

// buildRevision returns the abbreviated hash of the commit that the program was built from, or "unknown" if the build
// does not record it.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return "unknown"
}
