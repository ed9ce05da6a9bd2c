package agent

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// maxServiceName bounds the name of a service, in bytes, as the discovery service does.
const maxServiceName = 128

// Control is the section "control" of the configuration: how the agent is reached by what the
// list service tells beside the list.
type Control struct {
	// Service is whose settings the agent takes; empty: those of its file alone.
	Service string `json:"service"`
	// Addresses are further addresses of discovery, host:port, of instances that tell one list.
	Addresses []string `json:"addresses"`
}

// parseControl reads the section; an error names the key that is unknown or makes no sense.
func parseControl(text []byte) (*Control, error) {
	c := new(Control)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(c)
	var bad *json.UnmarshalTypeError
	switch {
	case errors.As(err, &bad) && bad.Field != "":
		return nil, fmt.Errorf("control: %s: cannot be a %s", bad.Field, bad.Value)
	case err != nil:
		return nil, fmt.Errorf("control: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errors.New("control: more than one value")
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil || len(keys) == 0 {
		return nil, errors.New("control: must have service, addresses or both")
	}
	for key, value := range keys {
		if strings.EqualFold(key, "service") && !isServiceName(c.Service) {
			return nil, fmt.Errorf("control: service: %.40q is no name: want 1 to %d bytes, no / and no control characters", c.Service, maxServiceName)
		}
		if strings.EqualFold(key, "addresses") && len(c.Addresses) == 0 {
			return nil, fmt.Errorf("control: addresses: must name one at least, is %.40s", value)
		}
	}
	for i, addr := range c.Addresses {
		if !isHostPort(addr) {
			return nil, fmt.Errorf("control: addresses[%d]: %q is no host:port", i, addr)
		}
	}
	return c, nil
}

// isHostPort tells whether calls may be made to an address.
func isHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, err2 := strconv.ParseUint(port, 10, 16)
	return err == nil && err2 == nil && n > 0 && host != "" && !strings.ContainsAny(host, "/?#@ ")
}

// isName tells whether the list service takes a text as a service's name.
func isServiceName(s string) bool {
	return s != "" && s != "." && s != ".." && len(s) <= maxServiceName && utf8.ValidString(s) &&
		!strings.Contains(s, "/") && !strings.ContainsFunc(s, unicode.IsControl)
}
