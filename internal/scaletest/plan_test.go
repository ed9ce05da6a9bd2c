package scaletest

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestPlanErrors checks that the error for an invalid key or value is one line that names the file, the line and the
// key.
func TestPlanErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"p\"\nsizes = [50]\nhury = 3", `p.toml:3: unknown key "hury"`},
		{"sizes = [50]\n[fleet]\nsize = 3", `p.toml:2: unknown key "fleet"`},
		{"sizes = [50]\nname = \"\"", "p.toml:2: name: must not be empty"},
		{"name = \"p\"", "p.toml:1: sizes: at least one is required"},
		{"sizes = [50,\n 2]", "p.toml:1: sizes: 2 hollow agents: at least 3"},
		{"sizes = [50]\nreal = -1", "p.toml:2: real: must be 0 or more, is -1"},
		{"sizes = [50]\n\nlists = 5", "p.toml:3: lists: must be 3 or 4, is 5"},
		{"sizes = [50]\nlisted = -2", "p.toml:2: listed: must be 0 or more, is -2"},
		{"sizes = [50]\nagents_a_host = 0", "p.toml:2: agents_a_host: must be above 0, is 0"},
		{"sizes = [50]\nrepeats = 0", "p.toml:2: repeats: must be above 0, is 0"},
		{"sizes = [50]\ndays = [\"quiet\", \"party\"]", `p.toml:2: days: unknown load profile "party"`},
		{"sizes = [50]\ndays = [\"quiet\", \"quiet\"]", `p.toml:2: days: "quiet" is listed twice`},
		{"sizes = [50]\ndays = []", "p.toml:2: days: at least one is required"},
		{"sizes = [50]\nseconds = 1", "p.toml:2: seconds: must be from 5 to 3600, is 1"},
		{"sizes = [50]\nhurry = nan", "p.toml:2: hurry: must be above 0, is NaN"},
		{"sizes = [50]\nhurry = -3.0", "p.toml:2: hurry: must be above 0, is -3"},
		{"sizes = [50]\nsettings = 2", "p.toml:2: settings: must be from 0 to 1, is 2"},
		{"sizes = [50]\nsettings = -0.1", "p.toml:2: settings: must be from 0 to 1, is -0.1"},
		{"sizes = [50]\nsettings = nan", "p.toml:2: settings: must be from 0 to 1, is NaN"},
		{"sizes = [50]\nsettings = \"all\"", "p.toml:2: settings: "},
		{"sizes = [50]\nseed = \"x\"", "p.toml:2: seed: "},
		{"sizes = [50", "p.toml:1: "},
	} {
		_, err := ParsePlan("p.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line with the prefix %s", c.text, err, c.want)
		}
	}
	_, err := LoadPlan(filepath.Join(t.TempDir(), "none.toml"))
	if err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("no file: %v", err)
	}
	p, err := ParsePlan("p.toml", "sizes = [50, 100]\nseconds = 30.0")
	if err != nil || !slices.Equal(p.Sizes, []int{50, 100}) || p.Seconds != 30 || p.Real != 20 ||
		p.DiscoveryInstances != 3 {
		t.Errorf("a plan of two keys: %+v, %v", p, err)
	}
}

// TestCommittedPlans checks that the committed plans and SmallPlan are valid.
func TestCommittedPlans(t *testing.T) {
	for file, settings := range map[string]float64{"plan.toml": 0, "plan-settings.toml": 1} {
		if p, err := LoadPlan("../../docs/capacity/" + file); err != nil || p.SettingsFraction != settings {
			t.Errorf("%s: %+v, %v", file, p, err)
		}
	}
	if err := SmallPlan().check(); err != nil {
		t.Error(err)
	}
}
