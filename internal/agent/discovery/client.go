// Package discovery gets the endpoint list and settings from the discovery service, by single calls for the list or by
// a watch, which moves on to another address when a call fails. Each call of a watch runs in its own goroutine. Unless
// the client keeps its own watch, its caller decides when to call again after a failure.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// watchWait is how long discovery may delay the response to a watch call while there is no change. After any
	// failure, a change must reach the agent within 6 s of the time at which discovery has the change and is reachable.
	// A call that is open when discovery stops responding times out after watchWait + callGrace, 2.25 s. The next call
	// follows within maxWatchBackoff, or within 2.5 s if the policy schedules it, and may take the rest of the 6 s.
	watchWait = time.Second
	// callGrace is the time allowed for a call in addition to its wait. Discovery drops calls that have been queued
	// for a second.
	callGrace = 1250 * time.Millisecond
	// maxCallsPerSecond and maxCallBurst limit the rate of calls: a discovery instance that answers watch calls
	// immediately must not be called in a tight loop. The delay between two calls is short enough to keep the watch.
	maxCallsPerSecond, maxCallBurst = 10, 10
	// maxListBytes limits the size of a response.
	maxListBytes = 8 << 20
	// maxConns and maxIdleConns limit the connections to one address.
	maxConns, maxIdleConns = 4, 2
)

// errMoved is the error of a call to a source that MoveTo has replaced.
var errMoved = errors.New("discovery has moved")

// errOlderVersion is the error of a call whose response has an older version than the one requested.
var errOlderVersion = errors.New("discovery: response with an older version")

// errNotFull is the error of a call of the full list whose response has only changes.
var errNotFull = errors.New("discovery: response without the full list")

// Client makes the calls that the policy requests and passes on their responses. A failed call ends the watch and is
// reported to the policy as ListFailed. The policy then decides when to call again: it sets a timer with exponential
// backoff and jitter. If changes are pushed, the policy requests no calls, and KeepWatch maintains a watch.
type Client struct {
	client     *http.Client
	limit      *rate.Limiter
	onResponse func(Response)
	// name is the agent's name. It is empty without the section "control".
	name string
	// backoff is the backoff of the watch with the section "control". Without the section it is nil, and KeepWatch
	// uses a singleAddressBackoff.
	backoff *failoverBackoff
	// settingsWatch requests settings with the calls of the watch and reports on them; nil if none are requested.
	settingsWatch *settingsWatch
	// localAddr is the local address of calls; nil lets the system choose.
	localAddr net.IP
	clock     clock.Clock
	counters  callCounters

	mu     sync.Mutex
	source *Source
	conns  map[*countingConn]bool // open connections; nil after Close
}

// Response is the outcome of one call. If Err is set there is no list.
type Response struct {
	Source *Source
	List   *endpoint.List
	Watch  bool
	// Complete means that the full list was requested, not the changes since a version. The list is then
	// accepted whatever version was known before.
	Complete bool
	// LastAnswer is when discovery last responded before this call, on the monotonic clock; 0 means never.
	LastAnswer time.Duration
	Err        error
}

// Options are the parameters of a Client besides the agent's configuration.
type Options struct {
	Clock clock.Clock
	// OnResponse is called when a call to the discovery service ends, whether it succeeded or failed. It is not called
	// for a watch response without changes (unless it is the first one of the watch), for a call that is repeated because
	// of MoveTo, or once the context of the call is done.
	OnResponse func(Response)
	// ApplySettings is called with settings from the discovery service. It may be nil if the configuration does not
	// request such settings.
	ApplySettings ApplySettings
}

// New returns a client for the addresses of a configuration, which starts from the version of the list that the
// configuration contains. With the section "control" the watch uses all addresses, and requests the settings of the
// service that the section names.
func New(cfg *config.Config, options Options) *Client {
	c := &Client{
		source:     newSource(cfg.InitialListVersion(), cfg.Discovery),
		limit:      rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
		localAddr:  cfg.DiscoveryLocalIP,
		clock:      options.Clock,
		onResponse: options.OnResponse,
		conns:      map[*countingConn]bool{},
	}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
	if cfg.Control == nil {
		return c
	}
	c.name = cfg.Name
	c.backoff = newFailoverBackoff()
	c.source = newSource(cfg.InitialListVersion(), orderAddresses(cfg.DiscoveryAddresses(), c.name)...)
	if cfg.Control.Service != "" {
		c.settingsWatch = &settingsWatch{service: cfg.Control.Service, agent: cfg.Name, apply: options.ApplySettings}
	}
	return c
}

// Close closes all connections. Open and later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	open := c.conns
	c.conns = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close() // the connection is no longer used, so the error has no consequence
	}
}

// KeepsOwnWatch reports whether the client maintains its watch by itself. It does so if the agent's configuration has
// the section "control".
func (c *Client) KeepsOwnWatch() bool { return c.backoff != nil }

// ForgetRejectedSettings makes the client request and check rejected settings again.
func (c *Client) ForgetRejectedSettings() { c.settingsWatch.forgetRejection() }

// MoveTo makes the client call other addresses. Calls in flight are repeated there and request the full list, because
// the new source may have its own versions. Idle connections to the old source are closed. Which of several addresses
// is called first depends on the agent's name.
func (c *Client) MoveTo(addrs ...string) {
	c.mu.Lock()
	old := c.source
	c.source = newSource(0, orderAddresses(addrs, c.name)...)
	c.mu.Unlock()
	old.markMoved()
	c.client.CloseIdleConnections()
}

// CurrentSource returns the source that calls go to now.
func (c *Client) CurrentSource() *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// Fetch requests the full list once, and again if the client is moved meanwhile.
func (c *Client) Fetch(ctx context.Context) {
	response := c.fetchOnce(ctx)
	if errors.Is(response.Err, errMoved) {
		response = c.fetchOnce(ctx)
	}
	if ctx.Err() == nil {
		c.onResponse(response)
	}
}

func (c *Client) fetchOnce(ctx context.Context) Response {
	source := c.CurrentSource()
	response := Response{Source: source, LastAnswer: source.LastAnswer()}
	response.List, response.Err = c.get(ctx, source, listCall{timeout: 2 * callGrace})
	return response
}

// listCall is one call for the endpoint list.
type listCall struct {
	query      string // empty for the full list
	timeout    time.Duration
	minVersion uint64 // an older list is not accepted
	full       bool   // only a full list is accepted
}

// get makes one call to the current address of a source. After a failure it advances the source to the next address.
func (c *Client) get(ctx context.Context, source *Source, call listCall) (*endpoint.List, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	callContext, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	defer context.AfterFunc(source.moved, cancel)() //nolint:contextcheck // the source's context ends this call too
	addr, index := source.address()
	list, err := c.request(callContext, "http://"+addr+endpoint.ListPath+call.query)
	if err == nil && call.full && !list.Full {
		err = errNotFull
	}
	if err == nil && list.Version < call.minVersion {
		source.advance(index)
		return nil, errOlderVersion
	}
	if err == nil {
		source.answered.Store(int64(c.clock.Monotonic()))
		return list, nil
	}
	// Idle connections may have failed together with this one, so the next call must open a new connection.
	c.client.CloseIdleConnections()
	if source.moved.Err() != nil {
		return nil, errMoved
	}
	source.advance(index)
	if len(source.addrs) > 1 {
		err = fmt.Errorf("%s: %w", addr, err)
	}
	return nil, err
}

// request makes one HTTP request and returns the list of the response.
func (c *Client) request(ctx context.Context, url string) (*endpoint.List, error) {
	if c.backoff != nil {
		ctx = withSingleConn(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c.counters.calls.Add(1)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or is not needed
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	return c.parseList(text)
}

// parseList parses a list. It rejects other JSON texts, which must not be taken for a list without servers.
func (c *Client) parseList(text []byte) (*endpoint.List, error) {
	var parsed struct {
		Version *uint64
		Full    bool
		Servers []endpoint.Endpoint
		// Settings are parsed only if they were requested.
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if parsed.Version == nil || parsed.Full && parsed.Servers == nil {
		return nil, errors.New("discovery: response is not a list")
	}
	list := &endpoint.List{Version: *parsed.Version, Full: parsed.Full, Servers: parsed.Servers}
	if c.settingsWatch == nil || len(parsed.Settings) == 0 {
		return list, nil
	}
	if err := json.Unmarshal(parsed.Settings, &list.Settings); err != nil {
		return nil, fmt.Errorf("discovery: settings: %w", err)
	}
	if settings := list.Settings; settings != nil && settings.Service != c.settingsWatch.service {
		return nil, fmt.Errorf("discovery: response with the settings of %.40q", settings.Service)
	}
	return list, nil
}
