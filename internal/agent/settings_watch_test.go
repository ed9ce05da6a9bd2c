package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// unusedAddr is the address of listed servers to which no request is sent.
const unusedAddr = "127.0.0.1:1"

// startWithSettingsService starts an agent with index 3 and zone 1 that requests the settings of service pay from the
// discovery service at addr. It also returns the configuration of the agent's file, so that tests can reload it.
func startWithSettingsService(t *testing.T, hooks config.Hooks, addr string) (*testAgent, *config.Config) {
	t.Helper()
	const format = `{"name":"pay-1","listen":"127.0.0.1:1","discovery":%q,"seed":"7",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"control":{"service":"pay","addresses":[%q]},"settings":%s}`
	settings := strings.NewReplacer(`"index":0`, `"index":3`, `"zone":0`, `"zone":1`).Replace(agenttest.Settings)
	file, err := config.Parse(fmt.Appendf(nil, format, addr, addr, settings))
	if err != nil {
		t.Fatal(err)
	}
	agent := startAgent(t, discoveryWith(t, unusedAddr), func(cfg *config.Config) {
		known, listen, log := cfg.InitialList, cfg.Listen, cfg.Log
		*cfg = *file
		cfg.InitialList = known
		cfg.Listen = listen
		cfg.Log = log
		cfg.Hooks = hooks
	})
	return agent, file
}

// activeSettings is a part of the settings in force.
type activeSettings struct {
	maxAttempts int
	roundTripMs int
	index       int // set per agent, in its file
	zone        int // set per agent, in its file
}

// settingsInForce returns the settings that are in force in the event loop.
func settingsInForce(agent *testAgent) activeSettings {
	settings := agent.statsNow().Settings
	return activeSettings{
		maxAttempts: settings.Limits.MaxAttempts,
		roundTripMs: int(settings.RoundTripMs),
		index:       settings.Index,
		zone:        settings.Zone,
	}
}

// wantSettings checks the settings in force.
func wantSettings(t *testing.T, agent *testAgent, want activeSettings) {
	t.Helper()
	if got := settingsInForce(agent); got != want {
		t.Errorf("settings in force: %+v, want %+v", got, want)
	}
}

// withMaxAttempts returns the tests' settings with the given limits.maxAttempts.
func withMaxAttempts(maxAttempts int) string {
	return agenttest.SettingsWith(`"maxAttempts":3`, fmt.Sprintf(`"maxAttempts":%d`, maxAttempts))
}

// recordHeads reads request heads from a connection and sends them to heads. It responds to each with an endpoint list
// that includes settings, which the agent did not request.
func recordHeads(conn net.Conn, heads chan<- string) {
	const list = `{"version":5,"full":false,"servers":[],"settings":"not requested"}`
	reader := bufio.NewReader(conn)
	head := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		head += line
		if line == "\r\n" {
			heads <- head
			head = ""
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
	}
}

// Without the section "control" the agent's calls to discovery are byte for byte those of agents without support for
// it, and settings in a response are ignored.
func TestDiscoveryCallWithoutControlIsUnchanged(t *testing.T) {
	listener := agenttest.Listen(t)
	heads := make(chan string, 100)
	go agenttest.AcceptAll(listener, func(conn net.Conn) { recordHeads(conn, heads) })
	startAgent(t, discoveryWith(t, unusedAddr), func(cfg *config.Config) {
		cfg.Name = "pay-1"
		cfg.Discovery = listener.Addr().String()
		cfg.Settings.DiscoveryMode = "pushed"
	})
	for _, index := range []int{1, 5, 5} {
		want := fmt.Sprintf("GET /api/targets?index=%d&wait=1000 HTTP/1.1\r\nHost: %s\r\n"+
			"User-Agent: Go-http-client/1.1\r\n\r\n", index, listener.Addr())
		if got := <-heads; got != want {
			t.Errorf("call is %q, want %q", got, want)
		}
	}
}

// Settings from the discovery service are applied as a whole, except for the keys that are set per agent. Settings with
// a lower version than those in force are not applied.
func TestServiceSettingsAreApplied(t *testing.T) {
	t.Parallel()
	applied := activeSettings{maxAttempts: 2, roundTripMs: 5, index: 3, zone: 1}
	discovery := agenttest.NewSettingsDiscovery(t, 41)
	versions := make(chan uint64, 100)
	hooks := config.Hooks{OnSettings: func(version uint64) { versions <- version }}
	agent, _ := startWithSettingsService(t, hooks, discovery.Addr())
	lines := agent.logLines()
	query := discovery.WaitCallWith(t, "in_force", "0")
	if query.Get("service") != "pay" || query.Get("agent") != "pay-1" || query.Has("refused") || query.Has("why") {
		t.Errorf("first call has the query parameters %v", query)
	}
	discovery.Publish(50, withMaxAttempts(2))
	discovery.WaitCallWith(t, "in_force", "50")
	wantSettings(t, agent, applied)
	if line := agenttest.WaitLine(t, lines, "settings applied"); !strings.Contains(line, "version=50") {
		t.Errorf("unexpected log line %q", line)
	}
	// The service rejects settings that contain keys set per agent, but an older version of it may not.
	for _, ownKeys := range []string{`"Index":9,`, `"zone":0,"index":9,`} {
		discovery.Publish(discovery.Settings.Version+1, `{`+ownKeys+withMaxAttempts(2)[1:])
		discovery.WaitCallWith(t, "in_force", fmt.Sprint(discovery.Settings.Version))
		wantSettings(t, agent, applied)
	}
	// An instance that sends an older version, whatever version the agent has, does not revert the settings.
	discovery.Change(func() { discovery.AlwaysSend = true })
	discovery.Publish(51, agenttest.SettingsWith(`"roundMs":5`, `"roundMs":6`))
	discovery.DiscardCalls()
	for range 5 {
		discovery.WaitCallWith(t, "in_force", "52")
	}
	wantSettings(t, agent, applied)
	if changes := agent.metricsNow().Settings; changes != 3 {
		t.Errorf("settings were applied %d times, want 3", changes)
	}
	var hooked []uint64
	for len(versions) > 0 {
		hooked = append(hooked, <-versions)
	}
	if !slices.Equal(hooked, []uint64{50, 51, 52}) || agent.Status().SettingsVersion != 52 {
		t.Errorf("OnSettings was called with %v, status has version %d; want [50 51 52], 52",
			hooked, agent.Status().SettingsVersion)
	}
}

// invalidSettings are settings from the discovery service that the agent must reject.
type invalidSettings struct {
	version uint64
	from    string // a part of valid settings
	to      string // its replacement
	reason  string // expected start of the reason for the rejection
}

// Settings that the agent can't apply are counted, logged and reported with the invalid key. The previous settings stay
// in force.
func TestInvalidServiceSettingsAreRejected(t *testing.T) {
	t.Parallel()
	discovery := agenttest.NewSettingsDiscovery(t, 41)
	agent, _ := startWithSettingsService(t, config.Hooks{}, discovery.Addr())
	lines := agent.logLines()
	discovery.WaitCallWith(t, "in_force", "0")
	discovery.Publish(50, withMaxAttempts(2))
	discovery.WaitCallWith(t, "in_force", "50")
	longEffect := strings.Repeat("x", 300)
	for _, invalid := range []invalidSettings{
		{60, `"coldMs":8000,`, ``, "settings: contract.coldMs: missing, though it was there before"},
		{61, `"maxAttempts":3`, `"maxAttempts":0`, "settings: limits.maxAttempts: must be above 0, is 0"},
		{62, `"maxAttempts":3`, `"maxAttempts":"3"`, "settings: limits.maxAttempts: cannot be a string"},
		{63, `"shapes":["big","small"]`, `"shapes":{}`, "settings: shapes: missing"},
		{
			64, `"effect":"free"`, `"effect":"` + longEffect + `\n"`,
			`settings: classes[0].effect: unknown effect "xxx`,
		},
	} {
		discovery.Publish(invalid.version, agenttest.SettingsWith(invalid.from, invalid.to))
		version := fmt.Sprint(invalid.version)
		invalid.wantReport(t, discovery.WaitCallWith(t, "refused", version))
		line := agenttest.WaitLine(t, lines, "settings rejected")
		unquotedReason := strings.Split(invalid.reason, ` "`)[0]
		if !strings.Contains(line, unquotedReason) || !strings.Contains(line, "version="+version) {
			t.Errorf("unexpected log line %q", line)
		}
	}
	wantSettings(t, agent, activeSettings{maxAttempts: 2, roundTripMs: 5, index: 3, zone: 1})
	if rejected := agent.metricsNow().SettingsRejected; rejected != 5 {
		t.Errorf("%d rejected settings, want 5", rejected)
	}
	discovery.Publish(70, withMaxAttempts(1))
	query := discovery.WaitCallWith(t, "in_force", "70")
	if query.Has("refused") || query.Has("why") || settingsInForce(agent).maxAttempts != 1 {
		t.Errorf("call after valid settings has the query parameters %v", query)
	}
}

// wantReport checks that a call reports the rejection, with the reason on one line of at most 200 bytes.
func (invalid invalidSettings) wantReport(t *testing.T, query url.Values) {
	t.Helper()
	reason := query.Get("why")
	if !strings.HasPrefix(reason, invalid.reason) || len(reason) > 200 || strings.Contains(reason, "\n") {
		t.Errorf("%s: reported reason %q, want prefix %q", invalid.to, reason, invalid.reason)
	}
	if query.Get("in_force") != "50" {
		t.Errorf("%s: reported %v, want version 50 in force", invalid.to, query)
	}
}

// After a reload the settings of the service stay in force. The addresses and the keys set per agent are taken from the
// file, and rejected settings are checked again.
func TestReloadWithControl(t *testing.T) {
	t.Parallel()
	discovery, moved := agenttest.NewSettingsDiscovery(t, 41), agenttest.NewSettingsDiscovery(t, 3)
	agent, file := startWithSettingsService(t, config.Hooks{}, discovery.Addr())
	lines := agent.logLines()
	for i, maxAttempts := range []int{4, 7} { // the settings of the file apply until the service has sent some
		reloaded := *file
		reloaded.Settings.Limits.MaxAttempts = maxAttempts
		agent.reloads <- &reloaded
		if line := agenttest.WaitLine(t, lines, "settings applied"); strings.Contains(line, "version") {
			t.Errorf("reload %d: unexpected log line %q", i, line)
		}
	}
	wantSettings(t, agent, activeSettings{maxAttempts: 7, roundTripMs: 5, index: 3, zone: 1})
	discovery.Publish(50, withMaxAttempts(2))
	discovery.WaitCallWith(t, "in_force", "50")
	discovery.Publish(51, agenttest.SettingsWith(`"coldMs":8000,`, ``))
	discovery.WaitCallWith(t, "refused", "51")

	reloaded := *file
	reloaded.Settings.Index = 4
	reloaded.Settings.Zone = 0
	reloaded.Settings.Limits.MaxAttempts = 9
	reloaded.Discovery = moved.Addr()
	reloaded.Control = &config.Control{Service: "other", Addresses: []string{discovery.Addr()}}
	moved.Change(func() {
		moved.Settings = discovery.Settings
		moved.AlwaysSend = true
	})
	agent.reloads <- &reloaded
	agenttest.WaitLine(t, lines, "settings of the file superseded by the service's")
	addresses := fmt.Sprintf("to=%s,%s", moved.Addr(), discovery.Addr())
	if line := agenttest.WaitLine(t, lines, "discovery moved"); !strings.Contains(line, addresses) {
		t.Errorf("unexpected log line %q", line)
	}
	wantSettings(t, agent, activeSettings{maxAttempts: 2, roundTripMs: 5, index: 4, zone: 0})
	agenttest.WaitUntil(t, "the rejected settings are checked again", func() bool {
		return agent.metricsNow().SettingsRejected == 2
	})
	// The agent may be watching either of the two by now.
	for _, service := range []*agenttest.SettingsDiscovery{discovery, moved} {
		service.Change(func() { service.AlwaysSend = false })
		service.Publish(60, withMaxAttempts(1))
	}
	agenttest.WaitUntil(t, "the next settings are applied", func() bool {
		return settingsInForce(agent) == activeSettings{maxAttempts: 1, roundTripMs: 5, index: 4, zone: 0}
	})
}
