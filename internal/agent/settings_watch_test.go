package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// startWithSettingsService starts an agent that takes the settings of service pay, at index 3 in zone 1; its
// configuration's file is the one that is returned, so that a test can reload it.
func startWithSettingsService(t *testing.T, hooks config.Hooks, addrs ...string) (*testAgent, *config.Config) {
	t.Helper()
	text := strings.NewReplacer(`"index":0`, `"index":3`, `"zone":0`, `"zone":1`).Replace(agenttest.Settings)
	more, _ := json.Marshal(addrs)
	cfg, err := config.Parse([]byte(fmt.Sprintf(`{"name":"pay-1","listen":"127.0.0.1:1","discovery":%q,"seed":"7",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"control":{"service":"pay","addresses":%s},"settings":%s}`, addrs[0], more, text)))
	if err != nil {
		t.Fatal(err)
	}
	return startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")), func(c *config.Config) {
		known, listen, log := c.Known, c.Listen, c.Log
		*c = *cfg
		c.Known, c.Listen, c.Log, c.Hooks = known, listen, log, hooks
	}), cfg
}

// settingsInForce is the largest number of attempts and the round trip of the settings in force, with the
// values that belong to the agent.
func settingsInForce(a *testAgent) [4]int {
	settings := a.statsNow().Settings
	return [4]int{settings.Limits.MaxAttempts, int(settings.RoundTripMs), settings.Index, settings.Zone}
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
	startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")), func(c *config.Config) {
		c.Name, c.Discovery, c.Settings.DiscoveryMode = "pay-1", ln.Addr().String(), "pushed"
	})
	for _, index := range []int{1, 5, 5} {
		want := fmt.Sprintf("GET /api/targets?index=%d&wait=1000 HTTP/1.1\r\nHost: %s\r\nUser-Agent: Go-http-client/1.1\r\n\r\n", index, ln.Addr())
		if got := <-heads; got != want {
			t.Errorf("the call is %q, want %q", got, want)
		}
	}
}

// Settings that the service sends are applied as a whole, except for those that belong to the agent; a
// version never goes back.
func TestServiceSettingsAreApplied(t *testing.T) {
	t.Parallel()
	d := agenttest.NewSettingsDiscovery(t, 41)
	told := make(chan uint64, 100)
	hooks := config.Hooks{OnSettings: func(version uint64) { told <- version }}
	a, _ := startWithSettingsService(t, hooks, d.Addr())
	lines := a.logLines()
	q := d.WaitCallWith(t, "in_force", "0")
	if q.Get("service") != "pay" || q.Get("agent") != "pay-1" || q.Has("refused") || q.Has("why") {
		t.Errorf("the first call has %v", q)
	}
	d.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.WaitCallWith(t, "in_force", "50")
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	if line := agenttest.WaitLine(t, lines, "settings applied"); !strings.Contains(line, "version=50") {
		t.Errorf("logged %q", line)
	}
	for _, index := range []string{`"Index":9,`, `"zone":0,"index":9,`} { // who writes them is refused; an older service may not refuse
		d.Publish(d.Settings.Version+1, `{`+index+agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`)[1:])
		d.WaitCallWith(t, "in_force", fmt.Sprint(d.Settings.Version))
		if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} {
			t.Errorf("in force: %v", got)
		}
	}
	// An instance that lags, or lies, turns nothing back.
	d.Change(func() { d.Stubborn = true })
	d.Publish(51, agenttest.SettingsWith(`"roundMs":5`, `"roundMs":6`))
	d.Drain()
	for range 5 {
		d.WaitCallWith(t, "in_force", "52")
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} || a.metricsNow().Settings != 3 {
		t.Errorf("in force: %v, after %d changes", got, a.metricsNow().Settings)
	}
	var hooked []uint64
	for len(told) > 0 {
		hooked = append(hooked, <-told)
	}
	if !slices.Equal(hooked, []uint64{50, 51, 52}) || a.agent.Status().SettingsVersion != 52 {
		t.Errorf("the hook was told %v, and the status is at %d", hooked, a.agent.Status().SettingsVersion)
	}
}

// Settings that the agent can't apply are counted, logged and reported with the key, and the previous ones
// stay in force.
func TestInvalidServiceSettingsAreRejected(t *testing.T) {
	t.Parallel()
	d := agenttest.NewSettingsDiscovery(t, 41)
	a, _ := startWithSettingsService(t, config.Hooks{}, d.Addr())
	lines := a.logLines()
	d.WaitCallWith(t, "in_force", "0")
	d.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.WaitCallWith(t, "in_force", "50")
	for i, bad := range []struct{ from, to, want string }{
		{`"coldMs":8000,`, ``, "settings: contract.coldMs: missing, though it was there before"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings: limits.maxAttempts: must be above 0, is 0"},
		{`"maxAttempts":3`, `"maxAttempts":"3"`, "settings: limits.maxAttempts: cannot be a string"},
		{`"shapes":["big","small"]`, `"shapes":{}`, "settings: shapes: missing"},
		{`"effect":"free"`, `"effect":"` + strings.Repeat("x", 300) + `\n"`, `settings: classes[0].effect: unknown effect "xxx`},
	} {
		version := fmt.Sprint(60 + i)
		d.Publish(uint64(60+i), agenttest.SettingsWith(bad.from, bad.to))
		q := d.WaitCallWith(t, "refused", version)
		if why := q.Get("why"); !strings.HasPrefix(why, bad.want) || len(why) > 200 || strings.Contains(why, "\n") || q.Get("in_force") != "50" {
			t.Errorf("%s: told %v, want %q", bad.to, q, bad.want)
		}
		if line := agenttest.WaitLine(t, lines, "settings rejected"); !strings.Contains(line, strings.Split(bad.want, ` "`)[0]) || !strings.Contains(line, "version="+version) {
			t.Errorf("logged %q", line)
		}
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 3, 1} || a.metricsNow().SettingsRejected != 5 {
		t.Errorf("in force: %v, after %d refusals", got, a.metricsNow().SettingsRejected)
	}
	d.Publish(70, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	if q := d.WaitCallWith(t, "in_force", "70"); q.Has("refused") || q.Has("why") || settingsInForce(a)[0] != 1 {
		t.Errorf("after a good change the call has %v", q)
	}
}

// At a reload the service's settings stay in force, the file's addresses and the agent's own values are
// applied, and rejected settings are checked again.
func TestReloadWithControl(t *testing.T) {
	t.Parallel()
	d, moved := agenttest.NewSettingsDiscovery(t, 41), agenttest.NewSettingsDiscovery(t, 3)
	a, file := startWithSettingsService(t, config.Hooks{}, d.Addr())
	lines := a.logLines()
	for i, attempts := range []int{4, 7} { // without settings of the service the file's are applied
		c := *file
		c.Settings.Limits.MaxAttempts = attempts
		a.reloads <- &c
		if line := agenttest.WaitLine(t, lines, "settings applied"); strings.Contains(line, "version") {
			t.Errorf("reload %d logged %q", i, line)
		}
	}
	if got := settingsInForce(a); got != [4]int{7, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	d.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	d.WaitCallWith(t, "in_force", "50")
	d.Publish(51, agenttest.SettingsWith(`"coldMs":8000,`, ``))
	d.WaitCallWith(t, "refused", "51")
	c := *file
	c.Settings.Index, c.Settings.Zone, c.Settings.Limits.MaxAttempts = 4, 0, 9
	c.Discovery, c.Control = moved.Addr(), &config.Control{Service: "other", Addresses: []string{d.Addr()}}
	moved.Change(func() { moved.Settings, moved.Stubborn = d.Settings, true })
	a.reloads <- &c
	agenttest.WaitLine(t, lines, "settings of the file superseded by the service's")
	if line := agenttest.WaitLine(t, lines, "discovery moved"); !strings.Contains(line, fmt.Sprintf("to=%s,%s", moved.Addr(), d.Addr())) {
		t.Errorf("logged %q", line)
	}
	if got := settingsInForce(a); got != [4]int{2, 5, 4, 0} {
		t.Errorf("in force: %v", got)
	}
	agenttest.WaitUntil(t, "what was refused is judged again", func() bool { return a.metricsNow().SettingsRejected == 2 })
	for _, to := range []*agenttest.SettingsDiscovery{d, moved} { // wherever it hangs now
		to.Change(func() { to.Stubborn = false })
		to.Publish(60, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	}
	agenttest.WaitUntil(t, "the next settings are taken", func() bool { return settingsInForce(a) == [4]int{1, 5, 4, 0} })
}
