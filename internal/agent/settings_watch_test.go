package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
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
	file, err := config.Parse([]byte(fmt.Sprintf(`{"name":"pay-1","listen":"127.0.0.1:1","discovery":%q,"seed":"7",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"control":{"service":"pay","addresses":%s},"settings":%s}`, addrs[0], more, text)))
	if err != nil {
		t.Fatal(err)
	}
	return startAgent(t, listing(t, "127.0.0.1:1"), func(cfg *config.Config) {
		known, listen, log := cfg.Known, cfg.Listen, cfg.Log
		*cfg = *file
		cfg.Known, cfg.Listen, cfg.Log, cfg.Hooks = known, listen, log, hooks
	}), file
}

// settingsInForce is the largest number of attempts and the round trip of the settings in force, with the
// values that belong to the agent.
func settingsInForce(agent *testAgent) [4]int {
	settings := agent.statsNow().Settings
	return [4]int{settings.Limits.MaxAttempts, int(settings.RoundTripMs), settings.Index, settings.Zone}
}

// Without the section a call is the same as before, to the byte, and settings in a response are ignored.
func TestWithoutControlTheCallFormIsUnchanged(t *testing.T) {
	listener := newListener(t)
	t.Cleanup(func() { _ = listener.Close() })
	heads := make(chan string, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for br, head := bufio.NewReader(conn), ""; ; {
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
					sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				}
			}()
		}
	}()
	startAgent(t, listing(t, "127.0.0.1:1"), func(cfg *config.Config) {
		cfg.Name, cfg.Discovery, cfg.Settings.DiscoveryMode = "pay-1", listener.Addr().String(), "pushed"
	})
	for _, index := range []int{1, 5, 5} {
		want := fmt.Sprintf("GET /api/targets?index=%d&wait=1000 HTTP/1.1\r\nHost: %s\r\nUser-Agent: Go-http-client/1.1\r\n\r\n", index, listener.Addr())
		if got := <-heads; got != want {
			t.Errorf("the call is %q, want %q", got, want)
		}
	}
}

// Settings that the service sends are applied as a whole, except for those that belong to the agent; a
// version never goes back.
func TestServiceSettingsAreApplied(t *testing.T) {
	t.Parallel()
	discovery := agenttest.NewSettingsDiscovery(t, 41)
	told := make(chan uint64, 100)
	hooks := config.Hooks{OnSettings: func(version uint64) { told <- version }}
	agent, _ := startWithSettingsService(t, hooks, discovery.Addr())
	lines := agent.logLines()
	query := discovery.WaitCallWith(t, "in_force", "0")
	if query.Get("service") != "pay" || query.Get("agent") != "pay-1" || query.Has("refused") || query.Has("why") {
		t.Errorf("the first call has %v", query)
	}
	discovery.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	discovery.WaitCallWith(t, "in_force", "50")
	if got := settingsInForce(agent); got != [4]int{2, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	if line := agenttest.WaitLine(t, lines, "settings applied"); !strings.Contains(line, "version=50") {
		t.Errorf("logged %q", line)
	}
	for _, index := range []string{`"Index":9,`, `"zone":0,"index":9,`} { // who writes them is refused; an older service may not refuse
		discovery.Publish(discovery.Settings.Version+1, `{`+index+agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`)[1:])
		discovery.WaitCallWith(t, "in_force", fmt.Sprint(discovery.Settings.Version))
		if got := settingsInForce(agent); got != [4]int{2, 5, 3, 1} {
			t.Errorf("in force: %v", got)
		}
	}
	// An instance that lags, or lies, turns nothing back.
	discovery.Change(func() { discovery.Stubborn = true })
	discovery.Publish(51, agenttest.SettingsWith(`"roundMs":5`, `"roundMs":6`))
	discovery.Drain()
	for range 5 {
		discovery.WaitCallWith(t, "in_force", "52")
	}
	if got := settingsInForce(agent); got != [4]int{2, 5, 3, 1} || agent.metricsNow().Settings != 3 {
		t.Errorf("in force: %v, after %d changes", got, agent.metricsNow().Settings)
	}
	var hooked []uint64
	for len(told) > 0 {
		hooked = append(hooked, <-told)
	}
	if !slices.Equal(hooked, []uint64{50, 51, 52}) || agent.Status().SettingsVersion != 52 {
		t.Errorf("the hook was told %v, and the status is at %d", hooked, agent.Status().SettingsVersion)
	}
}

// Settings that the agent can't apply are counted, logged and reported with the key, and the previous ones
// stay in force.
func TestInvalidServiceSettingsAreRejected(t *testing.T) {
	t.Parallel()
	discovery := agenttest.NewSettingsDiscovery(t, 41)
	agent, _ := startWithSettingsService(t, config.Hooks{}, discovery.Addr())
	lines := agent.logLines()
	discovery.WaitCallWith(t, "in_force", "0")
	discovery.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	discovery.WaitCallWith(t, "in_force", "50")
	for i, bad := range []struct{ from, to, want string }{
		{`"coldMs":8000,`, ``, "settings: contract.coldMs: missing, though it was there before"},
		{`"maxAttempts":3`, `"maxAttempts":0`, "settings: limits.maxAttempts: must be above 0, is 0"},
		{`"maxAttempts":3`, `"maxAttempts":"3"`, "settings: limits.maxAttempts: cannot be a string"},
		{`"shapes":["big","small"]`, `"shapes":{}`, "settings: shapes: missing"},
		{`"effect":"free"`, `"effect":"` + strings.Repeat("x", 300) + `\n"`, `settings: classes[0].effect: unknown effect "xxx`},
	} {
		version := fmt.Sprint(60 + i)
		discovery.Publish(uint64(60+i), agenttest.SettingsWith(bad.from, bad.to))
		query := discovery.WaitCallWith(t, "refused", version)
		if why := query.Get("why"); !strings.HasPrefix(why, bad.want) || len(why) > 200 || strings.Contains(why, "\n") || query.Get("in_force") != "50" {
			t.Errorf("%s: told %v, want %q", bad.to, query, bad.want)
		}
		if line := agenttest.WaitLine(t, lines, "settings rejected"); !strings.Contains(line, strings.Split(bad.want, ` "`)[0]) || !strings.Contains(line, "version="+version) {
			t.Errorf("logged %q", line)
		}
	}
	if got := settingsInForce(agent); got != [4]int{2, 5, 3, 1} || agent.metricsNow().SettingsRejected != 5 {
		t.Errorf("in force: %v, after %d refusals", got, agent.metricsNow().SettingsRejected)
	}
	discovery.Publish(70, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	if query := discovery.WaitCallWith(t, "in_force", "70"); query.Has("refused") || query.Has("why") || settingsInForce(agent)[0] != 1 {
		t.Errorf("after a good change the call has %v", query)
	}
}

// At a reload the service's settings stay in force, the file's addresses and the agent's own values are
// applied, and rejected settings are checked again.
func TestReloadWithControl(t *testing.T) {
	t.Parallel()
	discovery, moved := agenttest.NewSettingsDiscovery(t, 41), agenttest.NewSettingsDiscovery(t, 3)
	agent, file := startWithSettingsService(t, config.Hooks{}, discovery.Addr())
	lines := agent.logLines()
	for i, attempts := range []int{4, 7} { // without settings of the service the file's are applied
		c := *file
		c.Settings.Limits.MaxAttempts = attempts
		agent.reloads <- &c
		if line := agenttest.WaitLine(t, lines, "settings applied"); strings.Contains(line, "version") {
			t.Errorf("reload %d logged %q", i, line)
		}
	}
	if got := settingsInForce(agent); got != [4]int{7, 5, 3, 1} {
		t.Errorf("in force: %v", got)
	}
	discovery.Publish(50, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":2`))
	discovery.WaitCallWith(t, "in_force", "50")
	discovery.Publish(51, agenttest.SettingsWith(`"coldMs":8000,`, ``))
	discovery.WaitCallWith(t, "refused", "51")
	c := *file
	c.Settings.Index, c.Settings.Zone, c.Settings.Limits.MaxAttempts = 4, 0, 9
	c.Discovery, c.Control = moved.Addr(), &config.Control{Service: "other", Addresses: []string{discovery.Addr()}}
	moved.Change(func() { moved.Settings, moved.Stubborn = discovery.Settings, true })
	agent.reloads <- &c
	agenttest.WaitLine(t, lines, "settings of the file superseded by the service's")
	if line := agenttest.WaitLine(t, lines, "discovery moved"); !strings.Contains(line, fmt.Sprintf("to=%s,%s", moved.Addr(), discovery.Addr())) {
		t.Errorf("logged %q", line)
	}
	if got := settingsInForce(agent); got != [4]int{2, 5, 4, 0} {
		t.Errorf("in force: %v", got)
	}
	agenttest.WaitUntil(t, "what was refused is judged again", func() bool { return agent.metricsNow().SettingsRejected == 2 })
	for _, to := range []*agenttest.SettingsDiscovery{discovery, moved} { // wherever it hangs now
		to.Change(func() { to.Stubborn = false })
		to.Publish(60, agenttest.SettingsWith(`"maxAttempts":3`, `"maxAttempts":1`))
	}
	agenttest.WaitUntil(t, "the next settings are taken", func() bool { return settingsInForce(agent) == [4]int{1, 5, 4, 0} })
}
