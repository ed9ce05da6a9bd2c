package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// TestSettingsAdminAPI checks the responses of the admin address to writes and reads of settings.
func TestSettingsAdminAPI(t *testing.T) {
	_, adminAddr := startSingleNode(t, t.TempDir())
	url := adminAddr + endpoint.SettingsPath("pay")
	if got := request(http.MethodGet, url, ""); got.code != http.StatusNotFound {
		t.Errorf("before any write: %v, want status 404", got)
	}
	first := putSettings(url, server.SettingsText(1), "0").version()
	retried := putSettings(url, server.SettingsText(1), "").version()
	if first == 0 || retried != first {
		t.Errorf("write got version %d, its retry %d", first, retried)
	}
	checkRejectedSettings(t, url, first)
	quoted := fmt.Sprintf("%q", fmt.Sprint(first))
	second := putSettings(url, server.SettingsText(2), quoted).version()
	newest := decodeSettings(t, request(http.MethodGet, url, ""))
	age := time.Since(time.UnixMilli(newest.WrittenAtMs))
	if second <= first || newest.Version != second || newest.Text != server.SettingsText(2) || age > time.Hour {
		t.Errorf("newest settings after versions %d and %d: %+v", first, second, newest)
	}
	older := decodeSettings(t, request(http.MethodGet, fmt.Sprint(url, "?version=", first), ""))
	if older.Version != first || older.Text != server.SettingsText(1) {
		t.Errorf("settings of version %d: %+v", first, older)
	}
	var history []server.SettingsVersion
	if err := json.Unmarshal([]byte(request(http.MethodGet, url+"/history", "").body), &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != 2 || history[0].Version != second || history[1].Version != first ||
		history[0].Bytes != len(server.SettingsText(2)) {
		t.Errorf("history: %+v", history)
	}
}

// decodeSettings decodes a settings version.
func decodeSettings(t *testing.T, got response) server.SettingsVersion {
	t.Helper()
	var settings server.SettingsVersion
	if err := json.Unmarshal([]byte(got.body), &settings); err != nil {
		t.Fatalf("%v: %v", got, err)
	}
	return settings
}

// checkRejectedSettings checks the responses to invalid and conflicting writes of settings whose newest
// version is the given one.
func checkRejectedSettings(t *testing.T, url string, newest uint64) {
	t.Helper()
	text := server.SettingsText(2)
	badRequest := func(message string) response { return response{http.StatusBadRequest, message + "\n"} }
	conflict := func(expected uint64) response {
		body := fmt.Sprintf("settings of pay: version %d is in place, not %d\n", newest, expected)
		return response{http.StatusPreconditionFailed, body}
	}
	for name, c := range map[string]struct {
		url, body string
		ifMatch   string
		want      response
	}{
		"invalid value": {
			body: strings.Replace(text, `"maxAttempts":3`, `"maxAttempts":0`, 1),
			want: badRequest("settings: limits.maxAttempts: must be above 0, is 0"),
		},
		"per-agent key": {
			body: strings.Replace(text, `"roundMs"`, `"zone":1,"roundMs"`, 1),
			want: badRequest("settings: zone: is set per agent and must be omitted"),
		},
		"too long": {
			body: text + strings.Repeat(" ", 64<<10),
			want: badRequest("settings: longer than 65536 bytes"),
		},
		"invalid name": {
			url:  strings.Replace(url, "/pay", "/a%2Fb", 1),
			body: text,
			want: badRequest(`service: "a/b" is not a valid name: want 1 to 128 bytes without / and control characters`),
		},
		"invalid version": {body: text, ifMatch: "x", want: badRequest(`If-Match: "x" is not a version`)},
		"another version": {body: text, ifMatch: fmt.Sprint(newest + 9), want: conflict(newest + 9)},
		"no version yet":  {body: text, ifMatch: "0", want: conflict(0)},
	} {
		target := c.url
		if target == "" {
			target = url
		}
		if got := putSettings(target, c.body, c.ifMatch); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestWatchReturnsSettings checks that a watch that names a service gets the service's newer settings,
// either immediately or once they are written. It also checks that other watches stay open and that the
// agent's report is recorded.
func TestWatchReturnsSettings(t *testing.T) {
	httpAddr, adminAddr := startSingleNode(t, t.TempDir())
	listVersion := putServer(adminAddr, "s-1")
	watch := func(query string) <-chan response {
		result := make(chan response, 1)
		url := watchURL(httpAddr, fmt.Sprintf("index=%d&%s", listVersion, query))
		go func() { result <- request(http.MethodGet, url, "") }()
		return result
	}
	withoutService := watch("wait=1500")
	otherService := watch("wait=1500&service=ship&agent=s1")
	ownService := watch("wait=60000&service=pay&agent=p1")
	areOpen := func() bool {
		return len(reportsAt(adminAddr, "pay").Agents)+len(reportsAt(adminAddr, "ship").Agents) == 2
	}
	mustAwait(t, "the watches", areOpen)
	version := putSettings(adminAddr+endpoint.SettingsPath("pay"), server.SettingsText(1), "").version()
	if got := (<-ownService).list(t); got.Settings == nil || got.Settings.Version != version ||
		got.Settings.Service != "pay" || string(got.Settings.Value) != server.SettingsText(1) ||
		got.Version != listVersion || got.Full || len(got.Servers) != 0 {
		t.Errorf("watch with the service got %+v, want settings version %d", got, version)
	}
	unchanged := response{http.StatusOK, fmt.Sprintf("{\"version\":%d,\"full\":false,\"servers\":[]}\n", listVersion)}
	for _, result := range []<-chan response{withoutService, otherService} {
		if got := <-result; got != unchanged {
			t.Errorf("watch without the service got %v, want %v after its wait", got, unchanged)
		}
	}
	checkSettingsInResponses(t, httpAddr, listVersion, version)
	reports := reportsAt(adminAddr, "pay")
	want := server.SettingsReport{InForce: 1, Rejected: version, Reason: "no room"}
	if reports.Version != version || len(reports.Agents) != 1 || reports.Agents[0].Agent != "p1" ||
		reports.Agents[0].SettingsReport != want {
		t.Errorf("reports %+v, want one of p1 with %+v", reports, want)
	}
}

// checkSettingsInResponses checks for several queries whether the response includes the service's
// settings. version is their newest version.
func checkSettingsInResponses(t *testing.T, httpAddr string, listVersion, version uint64) {
	t.Helper()
	for name, c := range map[string]struct {
		query string
		want  uint64 // 0: no settings
	}{
		"none in force":  {fmt.Sprintf("index=%d&wait=60000&service=pay", listVersion), version},
		"older in force": {fmt.Sprintf("index=%d&wait=60000&service=pay&in_force=%d", listVersion, version-1), version},
		"full list":      {"service=pay", version},
		"in force":       {fmt.Sprintf("service=pay&in_force=%d", version), 0},
		"rejected":       {fmt.Sprintf("service=pay&agent=p1&in_force=1&refused=%d&why=no%%0Aroom", version), 0},
		"no service":     {"agent=p1", 0},
	} {
		got := request(http.MethodGet, watchURL(httpAddr, c.query), "").list(t).Settings
		if (c.want == 0) != (got == nil) || got != nil && got.Version != c.want {
			t.Errorf("%s: settings %+v, want version %d", name, got, c.want)
		}
	}
}
