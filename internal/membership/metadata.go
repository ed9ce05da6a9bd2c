package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
)

const (
	// processIDLength is the length of a process identity in hexadecimal digits.
	processIDLength = 16
	// maxLabelBytes is the maximum length of a site, a zone or a version.
	maxLabelBytes = 64
	// maxCachedMetas is the maximum number of entries in a metaCache, which is emptied when it is full.
	maxCachedMetas = 4096
)

var errMetadataLength = errors.New("meta: process, zone or version has an invalid length")

// meta is the metadata that a member announces, as JSON. memberlist limits it to 512 bytes.
type meta struct {
	Process  string `json:"p"`
	Zone     string `json:"z,omitempty"`
	Version  string `json:"v,omitempty"`
	Draining bool   `json:"d,omitempty"`
}

func (m meta) bytes() []byte {
	b, _ := json.Marshal(m) // encoding strings and a bool never fails
	return b
}

// parseMeta decodes and checks a member's metadata.
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

// metaCache caches parsed metadata, because each message about a member repeats the same bytes.
type metaCache struct {
	mu     sync.Mutex
	parsed map[string]meta
}

// parse returns the cached result of parseMeta.
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
