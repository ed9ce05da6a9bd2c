package endpoint

import "testing"

// TestPathsOnTheWire has each path as a literal: clients and instances of other versions use them.
func TestPathsOnTheWire(t *testing.T) {
	for _, path := range []struct{ got, want string }{
		{ListPath, "/api/targets"},
		{StatusPath, "/v1/status"},
		{ServerPattern, "/v1/servers/{id}"},
		{ServerPath("s-1"), "/v1/servers/s-1"},
		{SettingsPattern, "/v1/settings/{service}"},
		{SettingsPath("pay"), "/v1/settings/pay"},
		{SettingsPath("a/b"), "/v1/settings/a%2Fb"},
		{SettingsHistoryPattern, "/v1/settings/{service}/history"},
		{SettingsHistoryPath("pay"), "/v1/settings/pay/history"},
		{AgentReportsPattern, "/v1/settings/{service}/heard"},
		{AgentReportsPath("pay"), "/v1/settings/pay/heard"},
	} {
		if path.got != path.want {
			t.Errorf("path %q, want %q", path.got, path.want)
		}
	}
}
