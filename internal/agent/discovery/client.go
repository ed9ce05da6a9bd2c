// Package discovery calls the discovery service for the endpoint list and for settings: one call at a time for the
// list, and a watch that goes round several addresses. Each call runs in a goroutine of its own. The package does
// not decide when to call again after a failure, unless the client keeps its own watch.
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
	// watchWait is how long one call of a watch may wait for a change. A change has to reach the agent within
	// 6 s after discovery had it and could be reached, whatever failed. A call that is open when discovery
	// falls silent is given up after watchWait + callGrace, 2.25 s; the next one follows within
	// maxWatchBackoff, or 2.5 s where the policy asks for it, and has the rest of the 6 s.
	watchWait = time.Second
	// callGrace is what a call may take beyond its wait: discovery gives up calls that stood in its queue for
	// a second.
	callGrace = 1250 * time.Millisecond
	// maxCallsPerSecond and maxCallBurst bound the calls: a discovery that answers watches at once must not
	// be called in a tight loop. A watch outlives the gap.
	maxCallsPerSecond, maxCallBurst = 10, 10
	// maxListBytes bounds a response of discovery.
	maxListBytes = 8 << 20
	// maxConns and maxIdleConns bound the connections to an address.
	maxConns, maxIdleConns = 4, 2
)

// errMoved ends a call to an address that discovery has left.
var errMoved = errors.New("discovery has moved")

// errOlderVersion ends a call whose response has an older version than the one that was asked for.
var errOlderVersion = errors.New("discovery: response with an older version")

// Client makes the calls that the policy asks for and hands on what they return. The policy decides
// when to call again after a failure: a failed call ends the watch and is passed on as ListFailed, and the
// policy sets a timer with exponential backoff and jitter. Where changes are pushed the policy does not ask,
// and KeepWatch keeps a watch.
type Client struct {
	client     *http.Client
	limit      *rate.Limiter
	onResponse func(Response)
	// name is the agent's. backoff is the wait of the watch after a failure with the section "control"; nil:
	// without the section, KeepWatch waits by a singleBackoff.
	name    string
	backoff *addressBackoff
	// settingsWatch is what the watch asks for and reports of settings; nil: nothing.
	settingsWatch *settingsWatch
	// localAddr is the address that calls come from; nil: the system's choice.
	localAddr net.IP
	clock     clock.Clock
	counters  callCounters

	mu     sync.Mutex
	source *Source
	conns  map[*countedConn]bool // open connections; nil once the client is closed
}

// Response is the end of one call; Err says why it has no list.
type Response struct {
	Source *Source
	List   *endpoint.List
	Watch  bool
	// Complete means that the full list was asked for, and not what has changed: the version of the list
	// counts whatever was known before.
	Complete bool
	// LastAnswer is when discovery last responded before the call was made; 0: it had not.
	LastAnswer time.Duration
	Err        error
}

// Options are what a Client is made of besides the agent's configuration.
type Options struct {
	Clock clock.Clock
	// OnResponse is called at the end of each call.
	OnResponse func(Response)
	// ApplySettings is called with settings of the discovery service; nil: the configuration asks for none.
	ApplySettings ApplySettings
}

// New makes the client of a configuration's addresses, which has the list that the configuration knows.
// With the section "control" the watch goes round all addresses, and asks for the settings of the section's
// service.
func New(cfg *config.Config, options Options) *Client {
	c := &Client{
		source:     newSource(cfg.InitialList.Version, cfg.Discovery),
		limit:      rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
		localAddr:  cfg.DiscoveryLocalIP,
		clock:      options.Clock,
		onResponse: options.OnResponse,
		conns:      map[*countedConn]bool{},
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
	c.backoff = newAddressBackoff()
	c.source = newSource(cfg.InitialList.Version, orderAddresses(cfg.DiscoveryAddresses(), c.name)...)
	if cfg.Control.Service != "" {
		c.settingsWatch = &settingsWatch{service: cfg.Control.Service, agent: cfg.Name, apply: options.ApplySettings}
	}
	return c
}

// Close closes all connections; no call is answered any more.
func (c *Client) Close() {
	c.mu.Lock()
	open := c.conns
	c.conns = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close() // given up, whatever its state
	}
}

// KeepsOwnWatch reports whether the client goes round several addresses, and so keeps a watch by itself.
func (c *Client) KeepsOwnWatch() bool { return c.backoff != nil }

// ForgetRejectedSettings has settings that were rejected sent and checked again.
func (c *Client) ForgetRejectedSettings() { c.settingsWatch.forgetRejection() }

// MoveTo moves the calls to other addresses. Calls in flight are made again there, for the full list, as the
// new source may count versions of its own. Connections to the old source are not kept. Which of several
// addresses is called first depends on the agent's name.
func (c *Client) MoveTo(addrs ...string) {
	c.mu.Lock()
	old := c.source
	c.source = newSource(0, orderAddresses(addrs, c.name)...)
	c.mu.Unlock()
	old.markMoved()
	c.client.CloseIdleConnections()
}

// CurrentSource is where discovery is now.
func (c *Client) CurrentSource() *Source {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// Fetch polls for the full list once.
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
	response := Response{Source: source, LastAnswer: source.lastAnswer()}
	response.List, response.Err = c.get(ctx, source, listCall{timeout: 2 * callGrace})
	return response
}

// listCall is one call for the endpoint list.
type listCall struct {
	query      string // "": for the full list
	timeout    time.Duration
	minVersion uint64 // an older list is not accepted
}

// get makes one call to the current address of a source, and moves on to the next address after a failure.
func (c *Client) get(ctx context.Context, source *Source, call listCall) (*endpoint.List, error) {
	if err := c.limit.Wait(ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	callContext, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	defer context.AfterFunc(source.moved, cancel)() //nolint:contextcheck // the source's context ends this call too
	addr, index := source.address()
	list, err := c.request(callContext, "http://"+addr+endpoint.ListPath+call.query)
	if err == nil && list.Version < call.minVersion {
		source.advance(index)
		return nil, errOlderVersion
	}
	if err == nil {
		source.answered.Store(int64(c.clock.Monotonic()))
		return list, nil
	}
	// Another idle connection may have fallen silent with this one: the next call opens its own.
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

// request makes one HTTP request and reads the list of its response.
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
	defer func() { _ = resp.Body.Close() }() // it has been read, or is of no use
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	return c.parseList(text)
}

// parseList reads a list. What is not a list must not pass for one that names no servers.
func (c *Client) parseList(text []byte) (*endpoint.List, error) {
	var parsed struct {
		Version *uint64
		Full    bool
		Servers []endpoint.Endpoint
		// Settings are read only where they were asked for.
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
