package handover

import "testing"

// Of the environment and the file, the one that was changed last has the address in use.
func TestDiscoveryChoice(t *testing.T) {
	const a, b, c = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	start := FirstChoice
	for name, test := range map[string]struct {
		choice DiscoveryChoice
		want   string
	}{
		"first start, both":                            {start(a, b), a},
		"first start, file alone":                      {start("", b), b},
		"first start, environment alone":               {start(a, ""), a},
		"upgrade":                                      {start(a, b).Next(a, b), a},
		"upgrade, file alone":                          {start("", b).Next("", b), b},
		"move, upgrade":                                {start(a, a).Reloaded(b).Next(a, b), b},
		"move, two upgrades":                           {start(a, a).Reloaded(b).Next(a, b).Next(a, b), b},
		"upgrade, move":                                {start(a, a).Next(a, a).Reloaded(b), b},
		"move, upgrade, move, upgrade":                 {start(a, a).Reloaded(b).Next(a, b).Reloaded(c).Next(a, c), c},
		"two moves, upgrade":                           {start(a, a).Reloaded(b).Reloaded(c).Next(a, c), c},
		"move, move back, upgrade":                     {start(a, a).Reloaded(b).Reloaded(a).Next(a, a), a},
		"move, upgrade, move back, upgrade":            {start(a, a).Reloaded(b).Next(a, b).Reloaded(a).Next(a, a), a},
		"file replaced, upgrade without a reload":      {start(a, a).Next(a, b), b},
		"move, file replaced, upgrade":                 {start(a, a).Reloaded(b).Next(a, c), c},
		"upgrade with another environment":             {start(a, a).Next(b, a), b},
		"move, upgrade with another environment":       {start(a, a).Reloaded(b).Next(c, b), c},
		"both replaced, upgrade":                       {start(a, a).Next(b, c), b},
		"another environment, then an upgrade":         {start(a, a).Reloaded(b).Next(c, b).Next(c, b), c},
		"move, upgrade without an environment":         {start(a, a).Reloaded(b).Next("", b), b},
		"environment beside the file, no move":         {start(a, b).Next(a, b).Next(a, b), a},
		"reload of a file that was overridden":         {start(a, b).Reloaded(b).Next(a, b), b},
		"upgrade, file no longer has an address":       {start(a, b).Next(a, ""), a},
		"upgrade, file has an address for once, moved": {start(a, "").Next(a, b), b},
	} {
		if got := test.choice.Address(); got != test.want {
			t.Errorf("%s: %s in use, want %s", name, got, test.want)
		}
	}
}
