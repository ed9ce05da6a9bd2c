package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/wire"
	"fernbeam.example/fernbeam/policy"
)

const (
	// maxName bounds the names that the list service takes, in bytes, and maxWhy the reason of a
	// refusal that it is told.
	maxServiceName, maxRejectionReason = 128, 200
)

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

// addresses are those of discovery, each once, "discovery" first.
func (c *Config) addresses() []string {
	all := []string{c.Discovery}
	if c.Control != nil {
		for _, addr := range c.Control.Addresses {
			if !slices.Contains(all, addr) {
				all = append(all, addr)
			}
		}
	}
	return all
}

// takeSettings reads and checks the settings of a configuration; an error names the key.
func (c *Config) parseSettings(text []byte) error {
	settings, err := wire.ParseSettings(text)
	if err != nil {
		return err
	}
	// The module knows zones and kinds by number only; discovery names them.
	var names struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.Zones, c.Kinds = settings, names.Zones, names.Kinds
	_, err = policy.New(c.Settings, c.Seed)
	return err
}

// withTold is the configuration with settings that the list service told in place of its own, but
// for index and zone. The rules are ReloadConfig's: an error names the key that can't be used, or
// that the settings in force have and these lack.
func (c *Config) withServiceSettings(s *endpoint.Settings) (*Config, error) {
	var text map[string]any
	if err := json.Unmarshal(s.Value, &text); err != nil || text == nil {
		return nil, errors.New("settings: not a JSON object")
	}
	// encoding/json takes a key in any case for a field's.
	maps.DeleteFunc(text, func(key string, _ any) bool { return strings.EqualFold(key, "index") || strings.EqualFold(key, "zone") })
	own, _ := c.text["settings"].(map[string]any)
	for _, key := range []string{"index", "zone"} {
		if value, ok := own[key]; ok {
			text[key] = value
		}
	}
	if key := missingKey(own, text); key != "" {
		return nil, fmt.Errorf("settings: %s: missing, though it was there before", key)
	}
	n := *c
	if err := n.parseSettings(s.Value); err != nil {
		return nil, err
	}
	n.Settings.Index, n.Settings.Zone = c.Settings.Index, c.Settings.Zone
	n.text = maps.Clone(c.text)
	if n.text == nil {
		n.text = map[string]any{}
	}
	n.text["settings"], n.serviceSettings = text, s
	return &n, nil
}

// withForced is the configuration, which a file brought, with the settings of the one in force where
// those came from the list service: they win over a file's.
func (c *Config) keepServiceSettings(now *Config) (*Config, error) {
	if now.serviceSettings == nil {
		return c, nil
	}
	n := *c
	n.text = maps.Clone(c.text)
	if own, ok := c.text["settings"].(map[string]any); ok {
		// The file's other keys count no more, and so can't be missed.
		kept := map[string]any{}
		for _, key := range []string{"index", "zone"} {
			if value, ok := own[key]; ok {
				kept[key] = value
			}
		}
		n.text["settings"] = kept
	}
	return n.withServiceSettings(now.serviceSettings)
}

// settingsWatch is what a watch tells the list service of the settings that the agent has, and
// asks of it. The watch's goroutine changes what was refused, and whoever reloads forgets it.
type settingsWatch struct {
	service, agent string
	// take takes settings over and returns once they are in force; an error is why they are not:
	// errNotServing where nothing is taken over any more.
	apply func(context.Context, *endpoint.Settings) error

	mu                              sync.Mutex
	appliedVersion, rejectedVersion uint64
	rejectionReason                 string
	ended                           bool
}

// errNotServing ends the taking over of settings by an agent that ends.
var errAgentStopping = errors.New("the agent ends")

// query is what a call of the watch has beside its index; "" once nothing is taken over any more.
func (w *settingsWatch) query() string {
	if w == nil {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return ""
	}
	q := fmt.Sprintf("&%s=%s&%s=%s&%s=%d", endpoint.QueryService, url.QueryEscape(w.service),
		endpoint.QueryAgent, url.QueryEscape(w.agent), endpoint.QueryInForce, w.appliedVersion)
	if w.rejectedVersion > 0 {
		q += fmt.Sprintf("&%s=%d&%s=%s", endpoint.QueryRefused, w.rejectedVersion, endpoint.QueryWhy, url.QueryEscape(w.rejectionReason))
	}
	return q
}

// come takes settings that an answer brought, unless they are no newer than what was taken or
// refused: a version never goes back.
func (w *settingsWatch) receive(ctx context.Context, s *endpoint.Settings) {
	w.mu.Lock()
	old := s.Version <= max(w.appliedVersion, w.rejectedVersion)
	w.mu.Unlock()
	if old {
		return
	}
	err := w.apply(ctx, s)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, errAgentStopping):
		w.ended = true
	case err != nil:
		w.rejectedVersion, w.rejectionReason = s.Version, shortLine(err.Error(), maxRejectionReason)
	default:
		w.appliedVersion, w.rejectedVersion, w.rejectionReason = s.Version, 0, ""
	}
}

// retry forgets what was refused, so that it is told and judged again: what it was refused for may
// have changed.
func (w *settingsWatch) forgetRejection() {
	if w != nil {
		w.mu.Lock()
		w.rejectedVersion, w.rejectionReason = 0, ""
		w.mu.Unlock()
	}
}

// shortLine is a text without control characters, cut to so many bytes.
func shortLine(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return ' '
		}
		return r
	}, text)
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "")
	}
	return text
}

// handover is settings on their way from the watch to whoever reloads.
type settingsUpdate struct {
	settings *endpoint.Settings
	done     chan error // of capacity one: who takes them over waits for nobody
}

// inForce is the configuration in force, with how long requests are held at the end. It belongs to
// the goroutine that reloads.
type activeConfig struct {
	cfg        *Config
	downstream *downstreamServer
	loop       *eventLoop
	drainTime  time.Duration
}

// reload takes over what a file brought, as far as the list service's settings leave it.
func (f *activeConfig) reload(file *Config) {
	c, err := file.keepServiceSettings(f.cfg)
	if err != nil { // they were checked when they came
		f.loop.post(func() { f.loop.logAlways(slog.LevelError, "settings not taken over", "err", err) })
		return
	}
	if c.serviceSettings != nil {
		f.loop.post(func() {
			f.loop.logAlways(slog.LevelInfo, "settings of the file wait behind the service's", "version", c.serviceSettings.Version)
		})
	}
	f.activate(c, func(error) {})
	f.loop.discovery.settingsWatch.forgetRejection()
}

// come takes over settings that the list service told; what became of it is told when it is over.
func (f *activeConfig) applyUpdate(h settingsUpdate) {
	c, err := f.cfg.withServiceSettings(h.settings)
	if err != nil {
		f.loop.post(func() {
			f.loop.rejectSettings(h.settings.Version, err)
			h.done <- err
		})
		return
	}
	f.activate(c, func(err error) {
		if err != nil {
			f.loop.rejectSettings(h.settings.Version, err)
		}
		h.done <- err
	})
}

// set puts a configuration in force, in one step of the loop, and tells done in it.
func (f *activeConfig) activate(c *Config, done func(error)) {
	f.drainTime = max(f.drainTime, c.drainTime()) // what is open keeps its old deadline
	f.cfg = c
	f.downstream.applySettings(c)
	f.loop.post(func() { done(f.loop.applyConfig(c)) })
}

// refuseSettings counts and logs settings of the list service that can't be used.
func (l *eventLoop) rejectSettings(version uint64, err error) {
	l.metrics.settingsRejected++
	l.logAlways(slog.LevelError, "settings refused, the old stay", "version", version, "err", err)
}

// settingsVersion is that of the settings in force, 0 where they are the file's.
func (c *Config) settingsVersion() uint64 {
	if c.serviceSettings == nil {
		return 0
	}
	return c.serviceSettings.Version
}
