package agent

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/settingstest"
	"fernbeam.example/fernbeam/internal/testaddr"
)

// changingAgent is an agent with a membership view whose settings a test changes.
type changingAgent struct {
	*testAgent
	t         *testing.T
	keys      map[string]any // of its file, but for the settings
	discovery *agenttest.SettingsDiscovery
	applied   chan uint64 // receives a value each time that settings are in force
}

// startChangingAgent starts an agent that knows the servers and has settingstest.Base as its settings. It requests the
// settings of service pay from its discovery, which has none at first.
func startChangingAgent(t *testing.T, servers ...endpoint.Endpoint) *changingAgent {
	t.Helper()
	discovery := agenttest.NewSettingsDiscovery(t, 1)
	a := &changingAgent{
		t:         t,
		discovery: discovery,
		applied:   make(chan uint64, agenttest.MaxBufferedLines),
		keys: map[string]any{
			"name":      "pay-1",
			"listen":    "127.0.0.1:1",
			"discovery": discovery.Addr(),
			"seed":      "7",
			"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
			"known":     endpoint.List{Version: 1, Full: true, Servers: servers},
			"control":   map[string]any{"service": "pay", "addresses": []string{discovery.Addr()}},
			"fleet":     map[string]any{"bind": testaddr.Reserve(t), "site": "test"},
		},
	}
	a.testAgent = startAgent(t, agenttest.NewDiscovery(t), func(cfg *config.Config) {
		listen, log := cfg.Listen, cfg.Log
		*cfg = *a.file(settingstest.Base())
		cfg.Listen = listen
		cfg.Log = log
		cfg.Hooks.OnSettings = func(version uint64) { a.applied <- version }
	})
	return a
}

// file returns the configuration of the agent's file with the given settings.
func (a *changingAgent) file(settings string) *config.Config {
	a.t.Helper()
	cfg, err := config.Parse(a.fileText(settings))
	if err != nil {
		a.t.Fatal(err)
	}
	return cfg
}

// fileText returns the agent's file with the given settings.
func (a *changingAgent) fileText(settings string) []byte {
	a.t.Helper()
	keys := maps.Clone(a.keys)
	keys["settings"] = json.RawMessage(settings)
	text, err := json.Marshal(keys)
	if err != nil {
		a.t.Fatal(err)
	}
	return text
}

// settingsSource puts settings in force in a running agent.
type settingsSource struct {
	name  string
	apply func(t *testing.T, a *changingAgent, settings string)
}

// settingsSources are the ways in which the settings of a running agent can change.
func settingsSources() []settingsSource {
	return []settingsSource{
		{"file", func(_ *testing.T, a *changingAgent, settings string) {
			a.reloads <- a.file(settings)
			<-a.applied
		}},
		{"discovery", func(t *testing.T, a *changingAgent, settings string) {
			t.Helper()
			version := a.Status().SettingsVersion + 1
			a.discovery.Publish(version, settings)
			a.discovery.WaitCallWith(t, "in_force", fmt.Sprint(version))
			<-a.applied
		}},
	}
}

// For each key, an agent that started with other settings has the same settings and the same fleet size in force as one
// that started with these, whether they came from its file or from discovery. Guards against values that are derived
// from the settings once, at the start. What the policy decides with them is compared in its own package
// (TestUpdatedSettingsDecideAsInitialOnes).
func TestChangedSettingsAreInForceAsAWhole(t *testing.T) {
	t.Parallel()
	for _, source := range settingsSources() {
		t.Run(source.name, func(t *testing.T) {
			a := startChangingAgent(t)
			for _, variant := range settingstest.Variants(t) {
				isAgentsOwn := variant.Key == "index" || variant.Key == "zone"
				if isAgentsOwn && source.name == "discovery" {
					continue // always those of the file
				}
				for _, settings := range []string{variant.Text, settingstest.Base()} {
					source.apply(t, a, settings)
					want := a.file(settings).Settings
					if got := a.statsNow().Settings; !reflect.DeepEqual(got, want) {
						t.Errorf("%s: settings in force %+v, want %+v", variant.Key, got, want)
					}
					agenttest.WaitUntil(t, variant.Key+": fleet size", func() bool {
						return a.membership.Load().Snapshot().Size == want.FleetSize
					})
				}
			}
		})
	}
}

// A request that is idempotent by key within a zone is not repeated in another one, whether the settings name the zones
// since a change, in another order, or not at all. Guards against two zones that are taken for one.
func TestGuardedRequestStaysInItsZoneAfterNewSettings(t *testing.T) {
	t.Parallel()
	withZones := func(zones string) string {
		return strings.Replace(settingstest.Base(), `["east","west"]`, zones, 1)
	}
	for _, source := range settingsSources() {
		for name, zones := range map[string]string{
			"zones not named": `["east","west"]`,
			"zones added":     `["east","west","north","south"]`,
			"zones reordered": `["south","west","north","east"]`,
		} {
			t.Run(source.name+", "+name, func(t *testing.T) {
				t.Parallel()
				respondError := func(conn net.Conn, _ *http.Request, _ int) bool {
					return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
				}
				var servers []*agenttest.Server
				var listed []endpoint.Endpoint
				for i, zone := range []string{"north", "south"} {
					server := agenttest.NewServer(t, respondError)
					entry := agenttest.Endpoint(fmt.Sprint("s-", i), server.Addr)
					entry.Zone = zone
					servers = append(servers, server)
					listed = append(listed, entry)
				}
				a := startChangingAgent(t, listed...)
				source.apply(t, a, withZones(zones))
				a.do(agenttest.NewRequest(a.addr, "send", "x"))
				if attempts := servers[0].Count() + servers[1].Count(); attempts != 1 {
					t.Errorf("%d attempts in two zones, want 1 in one", attempts)
				}
			})
		}
	}
}

// Changed keys that take effect only at a start are logged by name, and the rest of the file is in force. Guards
// against a changed file that is only partly in force without a word.
func TestReloadNamesTheKeysThatNeedAStart(t *testing.T) {
	t.Parallel()
	a := startChangingAgent(t)
	lines := a.logLines()
	a.keys["name"] = "pay-2"
	a.keys["limits"] = map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024}
	a.reloads <- a.file(strings.Replace(settingstest.Base(), `"maxAttempts":3`, `"maxAttempts":2`, 1))
	agenttest.WaitLine(t, lines, "keys=name,limits.cores")
	<-a.applied
	if got := a.statsNow().Settings.Limits.MaxAttempts; got != 2 {
		t.Errorf("maxAttempts is %d after the reload, want 2", got)
	}
}

// An agent with a membership view rejects settings without a fleet size in one line, and keeps those in force.
func TestSettingsWithoutAFleetSizeAreRejected(t *testing.T) {
	t.Parallel()
	without := strings.Replace(settingstest.Base(), `"replicasOfMe":3`, `"replicasOfMe":0`, 1)
	a := startChangingAgent(t)
	_, err := config.ParseReload(a.fileText(without), a.cfg)
	if err == nil || !strings.Contains(err.Error(), "replicasOfMe") {
		t.Errorf("file without a fleet size: error %v, want one that names replicasOfMe", err)
	}
	lines := a.logLines()
	a.discovery.Publish(1, without)
	line := agenttest.WaitLine(t, lines, "settings rejected")
	if !strings.Contains(line, "replicasOfMe") || a.statsNow().Settings.FleetSize != 3 {
		t.Errorf("fleet size %d is in force after %q", a.statsNow().Settings.FleetSize, line)
	}
}
