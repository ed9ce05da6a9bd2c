package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// fakeSettingsDiscovery is an instance of a discovery service that sends settings.
type fakeSettingsDiscovery struct {
	*httptest.Server
	calls chan url.Values // of each call

	mu       sync.Mutex
	version  uint64
	settings *endpoint.Settings
	stubborn bool // it tells its settings whatever the call has
	down     bool
	wake     chan struct{}
}

func newFakeSettingsDiscovery(t *testing.T, version uint64) *fakeSettingsDiscovery {
	d := &fakeSettingsDiscovery{version: version, calls: make(chan url.Values, 1000), wake: make(chan struct{})}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *fakeSettingsDiscovery) addr() string { return d.Listener.Addr().String() }

func (d *fakeSettingsDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	d.calls <- q
	num := func(key string) uint64 { n, _ := strconv.ParseUint(q.Get(key), 10, 64); return n }
	over := time.After(time.Duration(num("wait")) * time.Millisecond)
	for last := false; ; {
		d.mu.Lock()
		l, wake, down := List{Version: d.version, Full: num("index") == 0, Servers: []Target{}}, d.wake, d.down
		if s := d.settings; s != nil && q.Get("service") == s.Service && (d.stubborn || s.Version > max(num("in_force"), num("refused"))) {
			l.Settings = s
		}
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case l.Settings != nil || l.Full || last:
			json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-wake:
		case <-over:
			last = true
		case <-req.Context().Done():
			return
		}
	}
}

func (d *fakeSettingsDiscovery) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeSettingsDiscovery) publish(version uint64, value string) {
	d.change(func() {
		d.settings = &endpoint.Settings{Service: "pay", Version: version, Value: json.RawMessage(value)}
	})
}

// waitCall waits for a call that satisfies a condition.
func (d *fakeSettingsDiscovery) waitCall(t *testing.T, what string, is func(url.Values) bool) url.Values {
	t.Helper()
	for over := time.After(testTimeout); ; {
		select {
		case q := <-d.calls:
			if is(q) {
				return q
			}
		case <-over:
			t.Fatal("no call with ", what)
		}
	}
}

func (d *fakeSettingsDiscovery) waitCallWith(t *testing.T, key, value string) url.Values {
	t.Helper()
	return d.waitCall(t, key+"="+value, func(q url.Values) bool { return q.Get(key) == value })
}

// drain forgets the calls so far.
func (d *fakeSettingsDiscovery) drain() {
	for len(d.calls) > 0 {
		<-d.calls
	}
}

// settingsWith are the tests' settings without the keys that belong to one agent, one text replaced by
// another.
func settingsWith(from, to string) string {
	text := strings.NewReplacer(`"index":0,`, ``, `,"zone":0`, ``).Replace(testSettings)
	return strings.Replace(text, from, to, 1)
}

// startWithSettingsService starts an agent that takes the settings of service pay, at index 3 in zone 1; its
// configuration's file is the one that is returned, so that a test can reload it.
func startWithSettingsService(t *testing.T, addrs ...string) (*testAgent, *Config) {
	t.Helper()
	text := strings.NewReplacer(`"index":0`, `"index":3`, `"zone":0`, `"zone":1`).Replace(testSettings)
	more, _ := json.Marshal(addrs)
	cfg, err := ParseConfig([]byte(fmt.Sprintf(`{"name":"pay-1","listen":"127.0.0.1:1","discovery":%q,"seed":"7",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"control":{"service":"pay","addresses":%s},"settings":%s}`, addrs[0], more, text)))
	if err != nil {
		t.Fatal(err)
	}
	return startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), func(c *Config) {
		known, listen := c.Known, c.Listen
		*c = *cfg
		c.Known, c.Listen = known, listen
	}), cfg
}

// settingsInForce is the largest number of attempts and the round trip of the settings in force, with the
// values that belong to the agent.
func settingsInForce(a *testAgent) [4]int {
	return inLoop(a, func(l *eventLoop) [4]int {
		s := &l.cfg.Settings
		return [4]int{s.Limits.MaxAttempts, int(s.RoundTripMs), s.Index, s.Zone}
	})
}

func TestControlSection(t *testing.T) {
	load := func(control string) (*Config, error) {
		return ParseConfig([]byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},` + control + `"settings":` + testSettings + `}`))
	}
	for control, want := range map[string]string{
		``:                                     "127.0.0.1:2",
		`"control":{"service":"pay"},`:         "127.0.0.1:2",
		`"control":{"addresses":["[::1]:3"]},`: "127.0.0.1:2 [::1]:3",
		`"control":{"addresses":["a:3","127.0.0.1:2","a:3"],"service":"s"},`: "127.0.0.1:2 a:3",
	} {
		c, err := load(control)
		if err != nil {
			t.Errorf("%s: %v", control, err)
		} else if got := strings.Join(c.addresses(), " "); got != want {
			t.Errorf("%s: addresses %s, want %s", control, got, want)
		}
	}
	for control, want := range map[string]string{
		`null`:                               "control: must have service, addresses or both",
		`{}`:                                 "control: must have service, addresses or both",
		`[]`:                                 "control: ",
		`7`:                                  "control: ",
		`{"service":""}`:                     `control: service: "" is no name`,
		`{"service":null}`:                   `control: service: "" is no name`,
		`{"service":"a/b"}`:                  `control: service: "a/b" is no name`,
		`{"service":"a\nb"}`:                 `control: service: "a\nb" is no name`,
		`{"service":7}`:                      "control: service: cannot be a number",
		`{"addresses":[]}`:                   "control: addresses: must name one at least, is []",
		`{"addresses":null}`:                 "control: addresses: must name one at least, is null",
		`{"addresses":"a:1"}`:                "control: addresses: cannot be a string",
		`{"addresses":["a:1","b"]}`:          `control: addresses[1]: "b" is no host:port`,
		`{"addresses":[":1"]}`:               `control: addresses[0]: ":1" is no host:port`,
		`{"addresses":["a:0"]}`:              `control: addresses[0]: "a:0" is no host:port`,
		`{"addresses":["a:http"]}`:           `control: addresses[0]: "a:http" is no host:port`,
		`{"addresses":["a/b:1"]}`:            `control: addresses[0]: "a/b:1" is no host:port`,
		`{"service":"pay","adresses":["a"]}`: `control: unknown field "adresses"`,
	} {
		_, err := load(`"control":` + control + `,`)
		if err == nil || !strings.HasPrefix(err.Error(), "config: "+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", control, err, want)
		}
	}
}

// Agents begin spread over the addresses, and those of one that fails move on to different ones.
func TestAgentsAreSpreadOverAddresses(t *testing.T) {
	addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	pairs := map[[2]string]int{}
	for i := range 600 {
		name := fmt.Sprint("pay-", i)
		o := orderAddresses(addrs, name)
		if again := orderAddresses([]string{addrs[2], addrs[0], addrs[1]}, name); !slices.Equal(o, again) {
			t.Fatalf("%s asks in the order %v, or %v where the file names them otherwise", name, o, again)
		}
		pairs[[2]string{o[0], o[1]}]++
	}
	for pair, n := range pairs {
		if n < 60 || n > 140 {
			t.Errorf("%d of 600 agents ask in the order %v, want some 100", n, pair)
		}
	}
	if len(pairs) != 6 {
		t.Errorf("%d orders of 6 are used", len(pairs))
	}
}

// The waits are drawn evenly from zero up to their bound: of a failover, and of a round, which doubles.
func TestWaitsHaveFullJitter(t *testing.T) {
	most, low := map[int]time.Duration{}, map[int]time.Duration{}
	for range 300 {
		for turns, i := newAddressBackoff(), 0; i < 15; i++ {
			w := turns.nextDelay(3)
			if most[i] = max(most[i], w); low[i] == 0 || w < low[i] {
				low[i] = w
			}
		}
	}
	for i := range 15 {
		bound := maxFailoverDelay
		if i%3 == 2 {
			bound = min(minRoundBackoff<<(i/3), maxRoundBackoff)
		}
		if most[i] > bound || most[i] < bound*3/4 || low[i] > bound/4 {
			t.Errorf("wait %d is %v to %v in 300 draws, want 0 to %v", i, low[i], most[i], bound)
		}
	}
}

// Without the section a call is the same as before, to the byte, and settings in a response are ignored.
func TestWithoutControlTheCallFormIsUnchanged(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	heads := make(chan string, 100)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				for br, head := bufio.NewReader(nc), ""; ; {
					line, err := br.ReadString('\n')
					if err != nil {
						return
					}
					if head += line; line != "\r\n" {
						continue
					}
					heads <- head
					head = ""
					text := `{"version":5,"full":false,"servers":[],"settings":"none that anybody asked for"}`
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			}()
		}
	}()
	a := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), func(c *Config) {
		c.Name, c.Discovery, c.Settings.DiscoveryMode = "pay-1", ln.Addr().String(), "pushed"
	})
	for _, index := range []int{1, 5, 5} {
		want := fmt.Sprintf("GET /api/targets?index=%d&wait=1000 HTTP/1.1\r\nHost: %s\r\nUser-Agent: Go-http-client/1.1\r\n\r\n", index, ln.Addr())
		if got := <-heads; got != want {
			t.Errorf("the call is %q, want %q", got, want)
		}
	}
	if d := a.agent.loop.discovery; d.backoff != nil || d.settingsWatch != nil || len(d.currentSource().addrs) != 1 {
		t.Error("the discovery client has parts that only the section calls for")
	}
}

// A watch moves where a call fails, keeps its version and stays where it is answered.
func TestWatchMovesOnFailureAndStays(t *testing.T) {
	t.Parallel()
	by := map[string]*fakeSettingsDiscovery{}
	cfg := &Config{Name: "pay-1", Control: &Control{}}
	for range 3 {
		d := newFakeSettingsDiscovery(t, 41)
		by[d.addr()] = d
		cfg.Control.Addresses = append(cfg.Control.Addresses, d.addr())
	}
	cfg.Discovery = cfg.Control.Addresses[0]
	cfg.Known.Version = 7
	d := newDiscoveryClient(cfg, clock.System(), nil, func(listResponse) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	asked := orderAddresses(cfg.addresses(), "pay-1")
	first, second, third := by[asked[0]], by[asked[1]], by[asked[2]]
	go d.keepWatch(ctx)
	first.waitCallWith(t, "index", "7")
	first.waitCallWith(t, "index", "41")
	first.change(func() { first.down = true })
	second.waitCallWith(t, "index", "41")
	first.change(func() { first.down = false })
	first.drain()
	for range 3 {
		if q := second.waitCallWith(t, "index", "41"); len(q) != 2 {
			t.Errorf("the call has %v", q)
		}
	}
	if n := len(first.calls) + len(third.calls); n != 0 {
		t.Errorf("%d calls went elsewhere though the second address answered", n)
	}
	second.Listener.Close()
	second.CloseClientConnections()
	third.waitCallWith(t, "index", "41")
}

// A call whose connection is lost is not retried until the wait after a failure is over: the agents of an
// instance that fails would all call at once.
func TestLostCallIsNotRetriedAtOnce(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var conns atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			br := bufio.NewReader(nc)
			for n := 0; n < 2; n++ { // the second call gets no answer
				if _, err := http.ReadRequest(br); err != nil || n == 1 {
					break
				}
				text := `{"version":5,"full":false,"servers":[]}`
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
			nc.Close()
		}
	}()
	atFailure := make(chan int64, 100)
	cfg := &Config{Name: "pay-1", Discovery: ln.Addr().String(), Control: &Control{Service: "pay"}}
	cfg.Known.Version = 1
	d := newDiscoveryClient(cfg, clock.System(), nil, func(n listResponse) {
		if n.err != nil {
			atFailure <- conns.Load()
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	for want := range int64(3) {
		if got := <-atFailure; got != want+1 {
			t.Errorf("%d connections came before failure %d was told", got, want+1)
		}
	}
}

// An instance that has an older version than the others is skipped; only once all have one the full list is
// asked for.
func TestOlderVersionIsAcceptedOnlyFromAllAddresses(t *testing.T) {
	t.Parallel()
	cfg := &Config{Name: "pay-1", Control: &Control{}}
	var mu sync.Mutex
	var asked []string
	for range 3 {
		addr, _ := scriptedDiscovery(t, func(_ int, c watchCall) string {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, c.index)
			if len(asked) > 4 {
				return ""
			}
			return `{"version":2,"full":true,"servers":[]}`
		})
		cfg.Control.Addresses = append(cfg.Control.Addresses, addr)
	}
	cfg.Discovery = cfg.Control.Addresses[0]
	cfg.Known.Version = 7
	d := newDiscoveryClient(cfg, clock.System(), nil, func(listResponse) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	waitUntil(t, "five calls", func() bool { mu.Lock(); defer mu.Unlock(); return len(asked) >= 5 })
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"7", "7", "7", "0", "2"}; !slices.Equal(asked[:5], want) {
		t.Errorf("asked from %v, want %v", asked, want)
	}
}

// Settings that the service sends are applied as a whole, except for those that belong to the agent; a
// version never goes back.
func TestServiceSettingsAreApplied(t *testing.T) {
	t.Parallel()
	d := newFakeSettingsDiscovery(t, 41)
	a, _ := startWithSettingsService(t, d.addr())
	lines := a.logLines(t)
	told := make(chan uint64, 100)
	inLoop(a, func(l *eventLoop) bool {
		l.cfg.Hooks.OnSettings = func(version uint64) { told <- version }
		return true
	})
	q := d.waitCallWith(t, "in_force", "0")
	if q.Get("service") != "pay" || q.Get("agent") != "pay-1" || q.Has("refused") || q.Has("why") {
		t.Errorf("the first call has %v", q)
	}
	d.publish(50, settingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.waitCallWith(t, "in_force", "50")
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	if line := waitLine(t, lines, "settings applied"); !strings.Contains(line, "version=50") {
		t.Errorf("logged %q", line)
	}
	for _, index := range []string{`"Index":9,`, `"zone":0,"index":9,`} { // who writes them is refused; an older service may not refuse
		d.publish(d.settings.Version+1, `{`+index+settingsWith(`"maxAttempts":3`, `"maxAttempts":2`)[1:])
		d.waitCallWith(t, "in_force", fmt.Sprint(d.settings.Version))
		if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} {
			t.Errorf("in force: %v", got)
		}
	}
	// An instance that lags, or lies, turns nothing back.
	d.change(func() { d.stubborn = true })
	d.publish(51, settingsWith(`"roundMs":5`, `"roundMs":6`))
	d.drain()
	for range 5 {
		d.waitCallWith(t, "in_force", "52")
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} || a.metricsNow().settings != 3 {
		t.Errorf("in force: %v, after %d changes", got, a.metricsNow().settings)
	}
	var hooked []uint64
	for len(told) > 0 {
		hooked = append(hooked, <-told)
	}
	if !slices.Equal(hooked, []uint64{50, 51, 52}) || a.agent.loop.status().SettingsVersion != 52 {
		t.Errorf("the hook was told %v, and the status is at %d", hooked, a.agent.loop.status().SettingsVersion)
	}
}

// Settings that the agent can't apply are counted, logged and reported with the key, and the previous ones
// stay in force.
func TestInvalidServiceSettingsAreRejected(t *testing.T) {
	t.Parallel()
	d := newFakeSettingsDiscovery(t, 41)
	a, _ := startWithSettingsService(t, d.addr())
	lines := a.logLines(t)
	d.waitCallWith(t, "in_force", "0")
	d.publish(50, settingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.waitCallWith(t, "in_force", "50")
	for i, bad := range []struct{ from, to, want string }{
		{`"coldMs":8000,`, ``, "settings: contract.coldMs: missing, though it was there before"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings: limits.maxAttempts: must be above 0, is 0"},
		{`"maxAttempts":3`, `"maxAttempts":"3"`, "settings: limits.maxAttempts: cannot be a string"},
		{`"shapes":["big","small"]`, `"shapes":{}`, "settings: shapes: missing"},
		{`"effect":"free"`, `"effect":"` + strings.Repeat("x", 300) + `\n"`, `settings: classes[0].effect: unknown effect "xxx`},
	} {
		version := fmt.Sprint(60 + i)
		d.publish(uint64(60+i), settingsWith(bad.from, bad.to))
		q := d.waitCallWith(t, "refused", version)
		if why := q.Get("why"); !strings.HasPrefix(why, bad.want) || len(why) > 200 || strings.Contains(why, "\n") || q.Get("in_force") != "50" {
			t.Errorf("%s: told %v, want %q", bad.to, q, bad.want)
		}
		if line := waitLine(t, lines, "settings rejected"); !strings.Contains(line, strings.Split(bad.want, ` "`)[0]) || !strings.Contains(line, "version="+version) {
			t.Errorf("logged %q", line)
		}
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} || a.metricsNow().settingsRejected != 5 {
		t.Errorf("in force: %v, after %d refusals", got, a.metricsNow().settingsRejected)
	}
	d.publish(70, settingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	if q := d.waitCallWith(t, "in_force", "70"); q.Has("refused") || q.Has("why") || settingsInForce(a)[0] != 1 {
		t.Errorf("after a good change the call has %v", q)
	}
}

// At a reload the service's settings stay in force, the file's addresses and the agent's own values are
// applied, and rejected settings are checked again.
func TestReloadWithControl(t *testing.T) {
	t.Parallel()
	d, moved := newFakeSettingsDiscovery(t, 41), newFakeSettingsDiscovery(t, 3)
	a, file := startWithSettingsService(t, d.addr())
	lines := a.logLines(t)
	for i, attempts := range []int{4, 7} { // without settings of the service the file's are applied
		c := *file
		c.Settings.Limits.MaxAttempts = attempts
		a.reloads <- &c
		if line := waitLine(t, lines, "settings applied"); strings.Contains(line, "version") {
			t.Errorf("reload %d logged %q", i, line)
		}
	}
	if got := settingsInForce(a); got != [4]int{7, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	d.publish(50, settingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.waitCallWith(t, "in_force", "50")
	d.publish(51, settingsWith(`"coldMs":8000,`, ``))
	d.waitCallWith(t, "refused", "51")
	c := *file
	c.Settings.Index, c.Settings.Zone, c.Settings.Limits.MaxAttempts = 4, 0, 9
	c.Discovery, c.Control = moved.addr(), &Control{Service: "other", Addresses: []string{d.addr()}}
	moved.change(func() { moved.settings, moved.stubborn = d.settings, true })
	a.reloads <- &c
	waitLine(t, lines, "settings of the file superseded by the service's")
	if line := waitLine(t, lines, "discovery moved"); !strings.Contains(line, fmt.Sprintf("to=%s,%s", moved.addr(), d.addr())) {
		t.Errorf("logged %q", line)
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 4, 0} {
		t.Errorf("in force: %v", got)
	}
	waitUntil(t, "what was refused is judged again", func() bool { return a.metricsNow().settingsRejected == 2 })
	if at := a.agent.loop.discovery.currentSource(); len(at.addrs) != 2 {
		t.Errorf("the addresses are %v", at.addrs)
	}
	for _, to := range []*fakeSettingsDiscovery{d, moved} { // wherever it hangs now
		to.change(func() { to.stubborn = false })
		to.publish(60, settingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	}
	waitUntil(t, "the next settings are taken", func() bool { return settingsInForce(a) == [4]int{1, 5, 4, 0} })
}

// An agent that stops applies no more settings, and does not ask for them repeatedly.
func TestStoppingAgentRequestsNoSettings(t *testing.T) {
	t.Parallel()
	w := &settingsWatch{service: "pay", agent: "pay-1", apply: func(context.Context, *endpoint.Settings) error { return errAgentStopping }}
	if want := "&service=pay&agent=pay-1&in_force=0"; w.query() != want {
		t.Errorf("asks %q, want %q", w.query(), want)
	}
	if w.receive(t.Context(), &endpoint.Settings{Version: 5}); w.query() != "" {
		t.Errorf("asks %q after the end", w.query())
	}
}
