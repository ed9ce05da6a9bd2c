package server_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// settingsText is a text that agents take; mark sets it apart from others.
func settingsText(mark int) string {
	return fmt.Sprintf(`{"classes":[{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],`+
		`"limits":{"maxAttempts":3},"membershipMode":"pushed","roundMs":%d}`, mark)
}

// answer is a door's answer: its status and its body.
type response struct {
	code int
	body string
}

// ask makes one call, following a redirect; code 0 where nothing answers.
func request(method, url, body string, header ...string) response {
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	resp, err := writeClient.Do(req)
	if err != nil {
		return response{}
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(text)}
}

// version is that of a write's answer; 0 where it was not acknowledged.
func (a response) version() uint64 {
	var v struct{ Version uint64 }
	if a.code == http.StatusOK {
		json.Unmarshal([]byte(a.body), &v)
	}
	return v.Version
}

// list is a watch's answer.
func (a response) list(t *testing.T) (l endpoint.List) {
	t.Helper()
	if err := json.Unmarshal([]byte(a.body), &l); a.code != http.StatusOK || err != nil {
		t.Fatalf("answer %d %q, want a list", a.code, a.body)
	}
	return l
}

// oneNode runs an instance that is a cluster by itself, and gives its two doors once it leads.
func startSingleNode(t *testing.T) (reads, admin string) {
	t.Helper()
	return startNode(t, filepath.Join(t.TempDir(), "d"))
}

// startNode runs an instance that is a cluster by itself on a data directory, new or written before, and
// returns its two addresses once it leads.
func startNode(t *testing.T, dir string) (reads, admin string) {
	t.Helper()
	cfg := singleNodeConfig(t, dir)
	n, err := server.Start(cfg, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	if err := processtest.Await(20*time.Second, "a leader", func() bool { return statusAt(cfg.AdminAddr).State == "Leader" }); err != nil {
		t.Fatal(err)
	}
	return cfg.HTTPAddr, cfg.AdminAddr
}

// nodeConfig configures an instance that is a cluster by itself, on free ports of loopback.
func singleNodeConfig(t *testing.T, dir string) server.Config {
	t.Helper()
	addr := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	return server.Config{ID: "n1", DataDir: dir, RaftAddr: addr(), HTTPAddr: addr(), AdminAddr: addr(),
		Bootstrap: true, MaxStale: time.Second, ElectionTimeout: 100 * time.Millisecond, KeepChanges: 64,
		SnapshotEvery: 8192, TrailingLogs: 1024}
}

// TestSettingsDoor: what the admin door answers to writes and reads of settings.
func TestSettingsAdminEndpoint(t *testing.T) {
	_, admin := startSingleNode(t)
	at := admin + "/v1/settings/pay"
	if got := request("GET", at, ""); got.code != http.StatusNotFound {
		t.Errorf("before any write: %v", got)
	}
	first := request("PUT", at, settingsText(1), "If-Match", "0").version()
	if again := request("PUT", at, settingsText(1)).version(); first == 0 || again != first {
		t.Errorf("a write got version %d, its repeat %d", first, again)
	}
	for name, c := range map[string]struct {
		url, body string
		header    []string
		want      response
	}{
		"no value":    {at, strings.Replace(settingsText(2), `"maxAttempts":3`, `"maxAttempts":0`, 1), nil, response{400, "settings: limits.maxAttempts: must be above 0, is 0\n"}},
		"own":         {at, strings.Replace(settingsText(2), `"roundMs"`, `"zone":1,"roundMs"`, 1), nil, response{400, "settings: zone: is each agent's own, leave it out\n"}},
		"too long":    {at, settingsText(2) + strings.Repeat(" ", 64<<10), nil, response{400, "settings: longer than 65536 bytes\n"}},
		"no name":     {admin + "/v1/settings/a%2Fb", settingsText(2), nil, response{400, "service: \"a/b\" is no name: want 1 to 128 bytes, no / and no control characters\n"}},
		"no version":  {at, settingsText(2), []string{"If-Match", "x"}, response{400, "If-Match: \"x\" is no version\n"}},
		"not that":    {at, settingsText(2), []string{"If-Match", fmt.Sprint(first + 9)}, response{412, fmt.Sprintf("settings of pay: version %d is in place, not %d\n", first, first+9)}},
		"none so far": {at, settingsText(2), []string{"If-Match", "0"}, response{412, fmt.Sprintf("settings of pay: version %d is in place, not 0\n", first)}},
	} {
		if got := request("PUT", c.url, c.body, c.header...); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	second := request("PUT", at, settingsText(2), "If-Match", fmt.Sprintf("%q", fmt.Sprint(first))).version()
	var kept server.SettingsVersion
	json.Unmarshal([]byte(request("GET", at, "").body), &kept)
	if second <= first || kept.Version != second || kept.Text != settingsText(2) || time.Since(time.UnixMilli(kept.WrittenAtMs)) > time.Hour {
		t.Errorf("after versions %d and %d the newest is %+v", first, second, kept)
	}
	json.Unmarshal([]byte(request("GET", fmt.Sprint(at, "?version=", first), "").body), &kept)
	if kept.Version != first || kept.Text != settingsText(1) {
		t.Errorf("version %d is %+v", first, kept)
	}
	var all []server.SettingsVersion
	json.Unmarshal([]byte(request("GET", at+"/history", "").body), &all)
	if len(all) != 2 || all[0].Version != second || all[1].Version != first || all[0].Bytes != len(settingsText(2)) {
		t.Errorf("the history is %+v", all)
	}
}

// TestSettingsByWatch: a watch that names its service is told newer settings, at once or
// when they come; others are not woken; what the call tells of its agent is remembered.
func TestSettingsByWatch(t *testing.T) {
	reads, admin := startSingleNode(t)
	listed := putServer(admin, "s-1")
	plain := make(chan response, 1)
	go func() { plain <- request("GET", fmt.Sprintf("%s/api/targets?index=%d&wait=1500", reads, listed), "") }()
	other := make(chan response, 1)
	go func() {
		other <- request("GET", fmt.Sprintf("%s/api/targets?index=%d&wait=1500&service=ship&agent=s1", reads, listed), "")
	}()
	own := make(chan response, 1)
	go func() {
		own <- request("GET", fmt.Sprintf("%s/api/targets?index=%d&wait=60000&service=pay&agent=p1", reads, listed), "")
	}()
	heard := func(service string) (h server.AgentReports) {
		json.Unmarshal([]byte(request("GET", admin+"/v1/settings/"+service+"/heard", "").body), &h)
		return h
	}
	if err := processtest.Await(20*time.Second, "the watches", func() bool { return len(heard("pay").Agents)+len(heard("ship").Agents) == 2 }); err != nil {
		t.Fatal(err)
	}
	v := request("PUT", admin+"/v1/settings/pay", settingsText(1)).version()
	if l := (<-own).list(t); l.Settings == nil || l.Settings.Version != v || l.Settings.Service != "pay" ||
		string(l.Settings.Value) != settingsText(1) || l.Version != listed || l.Full || len(l.Servers) != 0 {
		t.Errorf("the service's own watch got %+v, want settings %d", l, v)
	}
	want := response{200, fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[]}\n", listed)}
	for _, c := range []chan response{plain, other} {
		if got := <-c; got != want {
			t.Errorf("a watch without this service got %v, want %v at its time-out", got, want)
		}
	}
	for name, c := range map[string]struct {
		query string
		want  uint64
	}{
		"at once":        {fmt.Sprintf("index=%d&wait=60000&service=pay", listed), v},
		"in force older": {fmt.Sprintf("index=%d&wait=60000&service=pay&in_force=%d", listed, v-1), v},
		"whole list":     {"service=pay", v},
		"in force":       {fmt.Sprintf("service=pay&in_force=%d", v), 0},
		"refused":        {fmt.Sprintf("service=pay&agent=p1&in_force=1&refused=%d&why=no%%0Aroom", v), 0},
		"no service":     {"agent=p1", 0},
	} {
		l := request("GET", reads+"/api/targets?"+c.query, "").list(t)
		if got := l.Settings; (c.want == 0) != (got == nil) || got != nil && got.Version != c.want {
			t.Errorf("%s: settings %+v, want version %d", name, got, c.want)
		}
	}
	h := heard("pay")
	if want := (server.SettingsReport{InForce: 1, Rejected: v, Reason: "no room"}); h.Version != v || len(h.Agents) != 1 ||
		h.Agents[0].Agent != "p1" || h.Agents[0].SettingsReport != want {
		t.Errorf("heard %+v, want p1 with %+v", h, want)
	}
}
