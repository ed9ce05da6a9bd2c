package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"runtime/debug"
	"strconv"

	"fernbeam.example/fernbeam/internal/membership"
)

// file is the form of $PROXY_CONFIG.
type configFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    List            `json:"known"`
	Fleet    json.RawMessage `json:"fleet"`
	Control  json.RawMessage `json:"control"`
	Settings json.RawMessage `json:"settings"`

	text map[string]any // all of it
}

// LoadConfig reads the configuration from the environment and from the file it
// names. Where both tell a thing the environment wins: it is what the platform
// set for this very start.
func LoadConfig(getenv func(string) string) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	for _, over := range []struct {
		name string
		to   *string
	}{{"PROXY_NAME", &f.Name}, {"PROXY_LISTEN", &f.Listen}, {"PROXY_DISCOVERY", &f.Discovery},
		{"PROXY_MANAGEMENT", &f.Management}} {
		if v := getenv(over.name); v != "" {
			*over.to = v
		}
	}
	return f.config()
}

// ReloadConfig reads the file again, in service. What the file says now is later than
// what the environment said at the start, so the file wins. A key that was there in the file
// in force and is not now is an error: read as a zero it would be a setting nobody made.
func ReloadConfig(getenv func(string) string, now *Config) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return f.reloaded(now)
}

// ParseConfig reads a configuration of the form of $PROXY_CONFIG's file; an error names the key.
func ParseConfig(text []byte) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return f.config()
}

// ParseReload reads such a configuration as ReloadConfig does, in place of the one in force.
func ParseReload(text []byte, now *Config) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return f.reloaded(now)
}

// after is the configuration that takes the place of now.
func (f *configFile) reloaded(now *Config) (*Config, error) {
	if key := missingKey(now.text, f.text); key != "" {
		return nil, fmt.Errorf("config: %s: missing, though it was there before", key)
	}
	return f.config()
}

// missing names a key that an object has and its successor has not; "" if there is none.
// Of a list of objects only the keys count that all of them have.
func missingKey(now, then map[string]any) string {
	for key, old := range now {
		value := then[key]
		if value == nil && old != nil {
			return key
		}
		within := ""
		switch old := old.(type) {
		case map[string]any:
			value, ok := value.(map[string]any)
			if !ok {
				return key
			}
			within = missingKey(old, value)
		case []any:
			value, ok := value.([]any)
			if !ok {
				return key
			}
			if key == "known" || key == "servers" {
				continue // the list is another at any time
			}
			common := commonKeys(old)
			for i := range value {
				if item, ok := value[i].(map[string]any); ok && within == "" {
					within = missingKey(common, item)
				}
			}
		}
		if within != "" {
			return key + "." + within
		}
	}
	return ""
}

// commonKeys is an object of the keys that all objects of a list have, but for those that
// only some effects of a class call for.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
			delete(common, "group")
			delete(common, "keyTtlMs")
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}

func readFile(getenv func(string) string) (*configFile, error) {
	path := getenv("PROXY_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("config: PROXY_CONFIG is not set")
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

func parseFile(text []byte) (*configFile, error) {
	f := new(configFile)
	for _, to := range []any{f, &f.text} {
		if err := json.Unmarshal(text, to); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *configFile) config() (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Known: f.Known, text: f.text,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"management", c.Management}} {
		if a.key == "management" && a.value == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(a.value); err != nil || port == "" {
			return nil, fmt.Errorf("config: %s: %q is no host:port", a.key, a.value)
		}
	}
	switch {
	case !(c.Cores > 0) || math.IsInf(c.Cores, 0):
		return nil, fmt.Errorf("config: limits.cores: must be above 0, is %v", c.Cores)
	case c.MemoryMB < 16:
		return nil, fmt.Errorf("config: limits.memory_mb: must be 16 at least, is %d", c.MemoryMB)
	case c.Sockets < minSockets:
		return nil, fmt.Errorf("config: limits.sockets: must be %d at least, is %d", minSockets, c.Sockets)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("config: settings: none given")
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if len(f.Control) > 0 {
		if c.Control, err = parseControl(f.Control); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		if c.Name == "" {
			return nil, errors.New("config: name: none given, which control needs")
		}
	}
	if len(f.Fleet) > 0 {
		if c.Fleet, err = membership.Parse(f.Fleet); err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		c.Fleet.Name, c.Fleet.Size = c.Name, c.Settings.FleetSize
		if c.Fleet.Version = buildRevision(); c.Sockets < minSockets+membership.Sockets {
			return nil, fmt.Errorf("config: limits.sockets: must be %d at least with a fleet, is %d", minSockets+membership.Sockets, c.Sockets)
		}
	}
	return c, nil
}

// version is the commit that the program was built from, as far as the build tells.
func buildRevision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}
