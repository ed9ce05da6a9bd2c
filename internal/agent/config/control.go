package config

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

// maxServiceName is the maximum length of a service name, in bytes. The discovery service has the same limit.
const maxServiceName = 128

// Control is the section "control" of the configuration. It names the service whose settings the agent gets from
// discovery, and lists addresses of discovery in addition to the main one.
type Control struct {
	// Service is the service whose settings the agent takes; empty if it uses only those of its file.
	Service string `json:"service"`
	// Addresses are additional host:port addresses of discovery. All its instances return the same list.
	Addresses []string `json:"addresses"`
}

// parseControl parses and validates the section. Errors name the key that is unknown or has an invalid value.
func parseControl(text []byte) (*Control, error) {
	control, err := decodeControl(text)
	if err != nil {
		return nil, err
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil || len(keys) == 0 {
		return nil, errors.New("control: must have service, addresses or both")
	}
	for key, value := range keys {
		if strings.EqualFold(key, "service") && !isServiceName(control.Service) {
			return nil, fmt.Errorf(
				"control: service: %.40q is not a valid name: want 1 to %d bytes, no / and no control characters",
				control.Service, maxServiceName)
		}
		if strings.EqualFold(key, "addresses") && len(control.Addresses) == 0 {
			return nil, fmt.Errorf("control: addresses: must contain at least one address, is %.40s", value)
		}
	}
	for i, addr := range control.Addresses {
		if !isHostPort(addr) {
			return nil, fmt.Errorf("control: addresses[%d]: %q is not a host:port address", i, addr)
		}
	}
	return control, nil
}

// decodeControl decodes the section's JSON, which must be a single object with known keys.
func decodeControl(text []byte) (*Control, error) {
	control := new(Control)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(control)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return nil, fmt.Errorf("control: %s: cannot be a %s", typeError.Field, typeError.Value)
	}
	if err != nil {
		return nil, fmt.Errorf("control: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("control: more than one value")
	}
	return control, nil
}

// isHostPort reports whether addr is a valid address for calls: a host and a port other than 0.
func isHostPort(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || strings.ContainsAny(host, "/?#@ ") {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

// isServiceName reports whether the discovery service accepts s as a service name.
func isServiceName(s string) bool {
	return s != "" && s != "." && s != ".." && len(s) <= maxServiceName && utf8.ValidString(s) &&
		!strings.Contains(s, "/") && !strings.ContainsFunc(s, unicode.IsControl)
}
