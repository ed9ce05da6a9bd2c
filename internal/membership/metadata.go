package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
)

const (
	// processIDLength is the length of a process's identity, in hexadecimal digits.
	processIDLength = 16
	// maxLabelBytes bounds a site, a zone and a version.
	maxLabelBytes = 64
	// maxCachedMetas bounds the metadata cache, in entries; once full, it is emptied.
	maxCachedMetas = 4096
)

var errMetadataLength = errors.New("meta: process, zone or version has an invalid length")

// meta is the metadata that a member sends about itself, as JSON; memberlist allows 512 bytes.
type meta struct {
	Process  string `json:"p"`
	Zone     string `json:"z,omitempty"`
	Version  string `json:"v,omitempty"`
	Draining bool   `json:"d,omitempty"`
}

func (m meta) bytes() []byte {
	b, _ := json.Marshal(m) // strings and a bool cannot fail
	return b
}

// parseMeta reads a member's metadata; what no agent sends is an error.
func parseMeta(b []byte) (meta, error) {
	var parsed meta
	if err := json.Unmarshal(b, &parsed); err != nil {
		return parsed, fmt.Errorf("meta: %w", err)
	}
	if len(parsed.Process) != processIDLength || len(parsed.Zone) > maxLabelBytes || len(parsed.Version) > maxLabelBytes {
		return parsed, errMetadataLength
	}
	return parsed, nil
}

// metaCache keeps parsed metadata: the same bytes come again with each message about a member.
type metaCache struct {
	mu     sync.Mutex
	parsed map[string]meta
}

// parse is parseMeta with the cache.
func (c *metaCache) parse(b []byte) (meta, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.parsed[string(b)]; ok {
		return cached, nil
	}
	parsed, err := parseMeta(b)
	if err != nil {
		return parsed, err
	}
	if c.parsed == nil || len(c.parsed) >= maxCachedMetas {
		c.parsed = map[string]meta{}
	}
	c.parsed[string(b)] = parsed
	return parsed, nil
}
