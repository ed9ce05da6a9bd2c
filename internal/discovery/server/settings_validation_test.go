package server

import (
	"strings"
	"testing"
)

// TestValidateSettings checks that settings that no agent would accept are rejected with an error on one
// line that names the key.
func TestValidateSettings(t *testing.T) {
	if err := validateSettings([]byte(SettingsText(1))); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":   {`{`, `[`, "not a JSON object"},
		"type":       {`"maxAttempts":3`, `"maxAttempts":"3"`, "limits.maxAttempts"},
		"value":      {`"aimMs":20`, `"aimMs":0`, "classes[0].aimMs"},
		"mode":       {`"pushed"`, `"pulled"`, "membershipMode"},
		"index":      {`"roundMs"`, `"index":0,"roundMs"`, "index: is set per agent"},
		"zone":       {`"roundMs"`, `"ZONE":0,"roundMs"`, "zone: is set per agent"},
		"zone names": {`"roundMs"`, `"failureDomains":[1],"roundMs"`, "failureDomains"},
	} {
		err := validateSettings([]byte(strings.Replace(SettingsText(1), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", name, err, c.want)
		}
	}
}
