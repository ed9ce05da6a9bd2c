package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// List and Target are the protocol's shapes, shared with the list service.
type (
	List   = endpoint.List
	Target = endpoint.Target
)

// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever
// failed. A call that stands when discovery falls silent is given up after watchWait + callGrace,
// 2.25 s; the next one follows within followMost, or 2.5 s where the module asks, and has the rest.
const (
	// watchWait is how long one call of a watch may stand.
	watchWait = time.Second
	// callGrace is what a call may take beyond the wait: discovery gives up calls
	// that stood in its queue for a second.
	callGrace = 1250 * time.Millisecond
	// callsPerS and callBurst bound the calls: a discovery that answers watches at
	// once must not be asked in a tight loop. A watch outlives the gap.
	maxCallsPerSecond, maxCallBurst = 10, 10
	// followFirst and followMost bound the wait, doubled at each failure and jittered,
	// before a watch that the agent keeps by itself is opened anew.
	minWatchBackoff, maxWatchBackoff = 100 * time.Millisecond, time.Second
	// maxList bounds an answer of discovery.
	maxListBytes = 8 << 20
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

// callCount counts what passes on the sockets of calls to discovery, since the start.
type callCounters struct {
	bytesIn, bytesOut atomic.Uint64 // bytes, the heads of calls and answers with them
	calls             atomic.Uint64
}

// countedConn counts its bytes.
type countedConn struct {
	net.Conn
	client *discoveryClient
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.counters.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.counters.bytesOut.Add(uint64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
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

// place is where discovery is, at one address or at several that tell one list; left is done once
// it is elsewhere.
type discoverySource struct {
	addressRing
	moved     context.Context
	markMoved context.CancelFunc
	// version is what its watch has reached, by its own count; 0: all is still to be asked for.
	// It belongs to the watch, of which there is one at a time.
	version uint64
	// answered is when it last answered a call, on the monotonic clock in ns; 0: never.
	answered atomic.Int64
	// past counts answers from the past, one after the other, of the watch.
	olderAnswers int
}

// errMoved ends a call to an address that discovery has left, errPast one whose answer is older
// than what was asked from.
var (
	errDiscoveryMoved = errors.New("discovery has moved")
	errOlderVersion   = errors.New("discovery: answered with a version from the past")
)

func newDiscoverySource(version uint64, addrs ...string) *discoverySource {
	left, leave := context.WithCancel(context.Background())
	return &discoverySource{addressRing: addressRing{addrs: addrs}, moved: left, markMoved: leave, version: version}
}

// lastAnswer is when it last answered a call; 0: never.
func (p *discoverySource) lastAnswer() time.Duration { return time.Duration(p.answered.Load()) }

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

func (d *discoveryClient) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if had, ok := ctx.Value(hadConnKey{}).(*atomic.Bool); ok && had.Load() {
		return nil, errConnectionLost
	}
	dialer := net.Dialer{Timeout: callGrace}
	if d.localAddr != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: d.localAddr}
	}
	nc, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &countedConn{nc, d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		nc.Close()
		return nil, net.ErrClosed
	}
	d.conns[c] = true
	return c, nil
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

// follow keeps a watch until ctx ends.
func (d *discoveryClient) keepWatch(ctx context.Context) {
	for wait := minWatchBackoff; ctx.Err() == nil; wait = min(2*wait, maxWatchBackoff) {
		answered := d.watch(ctx)
		if answered {
			wait = minWatchBackoff
		}
		pause := wait/2 + rand.N(wait/2)
		if d.backoff != nil {
			if answered {
				d.backoff.reset()
			}
			pause = d.backoff.nextDelay(len(d.currentSource().addrs))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watch follows the changes, until a call fails or ctx ends, and tells whether any call
// was answered. The next call goes out before the last answer is even handed on: a
// watch lives for 200 ms without one, and a new watch loads discovery.
func (d *discoveryClient) watch(ctx context.Context) (answered bool) {
	call := func() chan listResponse {
		at, done := d.currentSource(), make(chan listResponse, 1)
		from, after := at.version, at.lastAnswer()
		go func() {
			l, err := d.get(ctx, at, fmt.Sprintf("?index=%d&wait=%d%s", from, watchWait.Milliseconds(), d.settingsWatch.query()),
				watchWait+callGrace, from)
			done <- listResponse{source: at, list: l, watch: true, complete: from == 0, lastAnswer: after, err: err}
		}()
		return done
	}
	for next := call(); ; {
		n := <-next
		switch {
		case errors.Is(n.err, errDiscoveryMoved):
			next = call()
			continue
		case ctx.Err() != nil:
			return answered
		case errors.Is(n.err, errOlderVersion):
			// Started again from less, perhaps: the next watch asks for all it has. Of several
			// addresses one may have less for a time.
			if n.source.olderAnswers++; n.source.olderAnswers >= len(n.source.addrs) {
				n.source.version, n.source.olderAnswers = 0, 0
			}
		}
		if n.err != nil {
			d.onResponse(n)
			return answered
		}
		n.source.version, n.source.olderAnswers = n.list.Version, 0
		settings := n.list.Settings
		if settings == nil {
			next = call()
		}
		// An empty answer says nothing, but the first is the answer to the call.
		if !answered || n.complete || n.list.Full || len(n.list.Servers) > 0 {
			d.onResponse(n)
		}
		answered = true
		if settings != nil { // the next call tells what has become of them
			d.settingsWatch.receive(ctx, settings)
			next = call()
		}
	}
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
		return nil, fmt.Errorf("discovery: answered %d", resp.StatusCode)
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
		return nil, errors.New("discovery: answered with no list")
	}
	list := &List{Version: *l.Version, Full: l.Full, Servers: l.Servers}
	if d.settingsWatch != nil && len(l.Settings) > 0 {
		if err := json.Unmarshal(l.Settings, &list.Settings); err != nil {
			return nil, fmt.Errorf("discovery: settings: %w", err)
		}
		if s := list.Settings; s != nil && s.Service != d.settingsWatch.service {
			return nil, fmt.Errorf("discovery: answered with the settings of %.40q", s.Service)
		}
	}
	return list, nil
}

// table holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type endpointList struct {
	zones, kinds map[string]int
	byID         map[string]*upstreamServer
	byAddr       map[balancer.Addr]*upstreamServer
}

func newEndpointList(zones, kinds []string) *endpointList {
	index := func(names []string) map[string]int {
		m := map[string]int{}
		for i, n := range names {
			m[n] = i
		}
		return m
	}
	return &endpointList{zones: index(zones), kinds: index(kinds),
		byID: map[string]*upstreamServer{}, byAddr: map[balancer.Addr]*upstreamServer{}}
}

// backend finds or makes the entry of an id. The module's name comes from the
// id, not from the address: addresses differ from one agent to the next, and the
// agents must agree on the order of servers for a key without talking.
func (t *endpointList) findOrAdd(id string) *upstreamServer {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &upstreamServer{id: id}
	h := hashString(id)
	for {
		for i := range b.policyAddr {
			b.policyAddr[i] = byte(h >> (8 * i))
		}
		if t.byAddr[b.policyAddr] == nil {
			break
		}
		h++ // two ids of one hash: the later takes the next free name
	}
	t.byID[id], t.byAddr[b.policyAddr] = b, b
	return b
}

// apply takes a list into the table and returns the module's entries, the
// addresses whose idle connections are of no more use, and the backends gone.
// started tells when a backend's process started, on the module's clock.
func (t *endpointList) apply(l *List, full bool, started func(*Target) float64) (entries []balancer.Endpoint, stale []string, gone []*upstreamServer) {
	named := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		s := &l.Servers[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		e := balancer.Endpoint{Zone: len(t.zones), Kind: len(t.kinds), Cell: s.Cell, StartedMs: started(s), Weight: s.Weight}
		if z, ok := t.zones[s.Zone]; ok {
			e.Zone = z
		}
		if k, ok := t.kinds[s.Kind]; ok {
			e.Kind = k
		}
		switch s.State {
		case "up":
			e.State = balancer.Ready
		case "removed":
			e.State = balancer.Removed
		default: // draining, and whatever else is not said to be up
			e.State = balancer.Draining
		}
		b := t.findOrAdd(s.ID)
		e.Server = b.policyAddr
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b.addr)
			b.addr = s.Addr
		}
		if b.unavailable.Store(e.State != balancer.Ready); e.State != balancer.Ready {
			stale = append(stale, b.addr)
		}
		if b.removed = e.State == balancer.Removed; b.removed {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.unavailable.Store(true)
				b.removed = true
				stale, gone = append(stale, b.addr), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *endpointList) forget(b *upstreamServer) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.policyAddr)
	}
}

// usable tells whether any backend may be sent to.
func (t *endpointList) hasReady() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}
