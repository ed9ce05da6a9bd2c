package agent

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

	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever
	// failed. A call that stands when discovery falls silent is given up after watchWait + callGrace,
	// 2.25 s; the next one follows within followMost, or 2.5 s where the module asks, and has the rest.
	// watchWait is how long one call of a watch may stand.
	watchWait = time.Second
	// callGrace is what a call may take beyond the wait: discovery gives up calls
	// that stood in its queue for a second.
	callGrace = 1250 * time.Millisecond
	// callsPerS and callBurst bound the calls: a discovery that answers watches at
	// once must not be asked in a tight loop. A watch outlives the gap.
	maxCallsPerSecond, maxCallBurst = 10, 10
	// maxList bounds an answer of discovery.
	maxListBytes = 8 << 20
)

// List and Target are the protocol's shapes, shared with the list service.
type (
	List   = endpoint.List
	Target = endpoint.Target
)

// discovery makes the calls that the module asks for and hands on what they
// bring. When to call again after a failure is the module's to decide: a failed
// call ends the watch and is told as ListFailed, and the module answers with a
// timer, doubled and jittered, so that discovery is never hammered. Where changes
// are pushed the module does not ask, and follow keeps a watch.
type discoveryClient struct {
	mu         sync.Mutex
	source     *discoverySource
	client     *http.Client
	limit      *rate.Limiter
	onResponse func(listResponse)
	// name is the agent's, and turn how long the watch waits after a failure; nil: as with one address.
	name    string
	backoff *addressBackoff
	// settings is what the watch tells and asks of settings; nil: nothing.
	settingsWatch *settingsWatch
	// from is the address that calls come from; nil: the system's choice.
	localAddr net.IP
	clock     clock.Clock
	counters  callCounters
	conns     map[*countedConn]bool // open; nil once it is closed
}

// news is what one call brought; a nil list is a failure.
type listResponse struct {
	source *discoverySource
	list   *List
	watch  bool
	// anew tells that all there is was asked for, and not what has changed: the answer's
	// version counts whatever was known before.
	complete bool
	// after is when discovery last answered before the call was made; 0: it had not.
	lastAnswer time.Duration
	err        error
}

// errMoved ends a call to an address that discovery has left, errPast one whose answer is older
// than what was asked from.
var errDiscoveryMoved = errors.New("discovery has moved")

var errOlderVersion = errors.New("discovery: response with an older version")

// newDiscovery makes the calls to addr, where version is known already.
func newDiscoveryClient(addr string, version uint64, told func(listResponse)) *discoveryClient {
	d := &discoveryClient{
		source:     newDiscoverySource(version, addr),
		limit:      rate.NewLimiter(maxCallsPerSecond, maxCallBurst),
		clock:      clock.System(),
		onResponse: told,
		conns:      map[*countedConn]bool{},
	}
	d.client = &http.Client{Transport: &http.Transport{
		DialContext: d.dial, MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4,
		IdleConnTimeout: time.Minute, DisableCompression: true,
	}}
	return d
}

// close ends all connections; no call is answered any more.
func (d *discoveryClient) close() {
	d.mu.Lock()
	open := d.conns
	d.conns = nil
	d.mu.Unlock()
	for c := range open {
		c.Close()
	}
}

// control has the watch go round all addresses that a configuration's section "control" names, where
// version is known already, and ask for the settings of its service.
func (d *discoveryClient) configure(cfg *Config, version uint64) {
	d.name, d.backoff = cfg.Name, newAddressBackoff()
	d.source = newDiscoverySource(version, orderAddresses(cfg.addresses(), d.name)...)
	if cfg.Control.Service != "" {
		d.settingsWatch = &settingsWatch{service: cfg.Control.Service, agent: cfg.Name}
	}
}

// move takes discovery to be at another address: calls that are out are made again
// there, and it is asked for all it has, as it may count versions of its own. The old
// address closes what stays open, so nothing is kept. Of several addresses the first to be
// asked goes by the agent's name.
func (d *discoveryClient) moveTo(addrs ...string) {
	d.mu.Lock()
	old := d.source
	d.source = newDiscoverySource(0, orderAddresses(addrs, d.name)...)
	d.mu.Unlock()
	old.markMoved()
	d.client.CloseIdleConnections()
}

func (d *discoveryClient) currentSource() *discoverySource {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source
}

// fetch asks for the whole list once.
func (d *discoveryClient) fetch(ctx context.Context) {
	at := d.currentSource()
	after := at.lastAnswer()
	l, err := d.get(ctx, at, "", 2*callGrace, 0)
	if errors.Is(err, errDiscoveryMoved) {
		at = d.currentSource()
		after = at.lastAnswer()
		l, err = d.get(ctx, at, "", 2*callGrace, 0)
	}
	if ctx.Err() == nil {
		d.onResponse(listResponse{source: at, list: l, lastAnswer: after, err: err})
	}
}

// get makes one call, and takes no answer that is older than from.
func (d *discoveryClient) get(ctx context.Context, at *discoverySource, query string, within time.Duration, from uint64) (*List, error) {
	if err := d.limit.Wait(ctx); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	defer context.AfterFunc(at.moved, cancel)()
	addr, which := at.address()
	l, err := d.call(ctx, "http://"+addr+"/api/targets"+query)
	if err == nil && l.Version < from {
		at.advance(which)
		return nil, errOlderVersion
	}
	if err == nil {
		at.answered.Store(int64(d.clock.Monotonic()))
		return l, nil
	}
	// Another connection that idles may have fallen silent with this one: the next call opens its own.
	d.client.CloseIdleConnections()
	if at.moved.Err() != nil {
		return nil, errDiscoveryMoved
	}
	if at.advance(which); len(at.addrs) > 1 {
		err = fmt.Errorf("%s: %w", addr, err)
	}
	return nil, err
}

// call makes one call and reads the list that it brings.
func (d *discoveryClient) call(ctx context.Context, url string) (*List, error) {
	if d.backoff != nil {
		ctx = withSingleConn(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d.counters.calls.Add(1)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	// What is no list must not pass for one that names no servers.
	var l struct {
		Version *uint64
		Full    bool
		Servers []Target
		// Settings are for who asks for them alone.
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if l.Version == nil || l.Full && l.Servers == nil {
		return nil, errors.New("discovery: response is not a list")
	}
	list := &List{Version: *l.Version, Full: l.Full, Servers: l.Servers}
	if d.settingsWatch != nil && len(l.Settings) > 0 {
		if err := json.Unmarshal(l.Settings, &list.Settings); err != nil {
			return nil, fmt.Errorf("discovery: settings: %w", err)
		}
		if s := list.Settings; s != nil && s.Service != d.settingsWatch.service {
			return nil, fmt.Errorf("discovery: response with the settings of %.40q", s.Service)
		}
	}
	return list, nil
}
