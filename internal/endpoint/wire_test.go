package endpoint

import "testing"

// TestNamesOnTheWire compares each path and query parameter with a literal. Clients and instances of other
// versions use these names, so a change of one breaks them.
func TestNamesOnTheWire(t *testing.T) {
	for _, name := range []struct{ got, want string }{
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
		{QueryIndex, "index"},
		{QueryWait, "wait"},
		{QueryConsistent, "consistent"},
		{QueryVersion, "version"},
		{QueryService, "service"},
		{QueryAgent, "agent"},
		{QueryInForce, "in_force"},
		{QueryRejected, "refused"},
		{QueryReason, "why"},
	} {
		if name.got != name.want {
			t.Errorf("got %q, want %q", name.got, name.want)
		}
	}
}
