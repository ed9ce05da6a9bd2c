package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// replacement replaces a part of a configuration's text. wantError is a text of the expected error that names the key.
type replacement struct{ from, to, wantError string }

func (r replacement) in(text string) string { return strings.Replace(text, r.from, r.to, 1) }

// configPath returns a path for the configuration file of a test.
func configPath(t *testing.T) string {
	t.Helper()
	return filepath.Join(t.TempDir(), "config.json")
}

func writeConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// environment returns a getenv function that has the path of a configuration file and further variables.
func environment(path string, variables map[string]string) func(string) string {
	return func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return variables[name]
	}
}

// isLineWith reports whether err is a single line that contains text.
func isLineWith(err error, text string) bool {
	return err != nil && strings.Contains(err.Error(), text) && !strings.Contains(err.Error(), "\n")
}

// Values of the environment take precedence over the file, and the error of an invalid file names the key.
func TestLoad(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"version":4,"full":true,"servers":[{"id":"s-1"}]},
"settings":` + agenttest.Settings + `}`
	load := func(text string, variables map[string]string) (*config.Config, error) {
		path := configPath(t)
		writeConfig(t, path, text)
		return config.Load(environment(path, variables))
	}
	cfg, err := load(good, map[string]string{"PROXY_LISTEN": "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Listen != "127.0.0.1:9" || cfg.Discovery != "127.0.0.1:2" || cfg.Seed != 0x8c1f30d27a5be964 ||
		cfg.InitialList.Version != 4 || cfg.Cores != 0.5 || len(cfg.Settings.Zones) != 2 || len(cfg.Settings.Classes) != 3 {
		t.Errorf("parsed as %+v", cfg)
	}
	for _, bad := range []replacement{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"zz"`, "seed"},
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`"cores":0.5`, `"cores":0`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":8`, "limits.sockets"},
		{`"sockets":256`, `"sockets":"many"`, "sockets"},
		{`"effect":"free"`, `"effect":"perhaps"`, "classes[0].effect"},
		{`"settings":`, `"other":`, "settings"},
		{`{`, ``, "config"},
	} {
		if _, err := load(bad.in(good), nil); !isLineWith(err, bad.wantError) {
			t.Errorf("%s: error %v, want one line with %q", bad.to, err, bad.wantError)
		}
	}
	if _, err := config.Load(func(string) string { return "" }); err == nil {
		t.Error("Load without PROXY_CONFIG succeeded")
	}
}

// reloadedConfig is the configuration in force, to which the reloads apply replacements.
const reloadedConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:9"}]},"settings":` + agenttest.Settings + `}`

// validReloads are replacements that a reload accepts.
var validReloads = []replacement{
	{from: "", to: ""},
	{from: `{"name":"send"`, to: `{"name":"later"`},
	{from: `"effect":"guarded","group":"all","keyTtlMs":8000`, to: `"effect":"single_shot"`},
	{from: `"maxAttempts":3`, to: `"maxAttempts":1`},
	{from: `"servers":[{"id":"a","addr":"127.0.0.1:9"}]`, to: `"servers":[]`},
}

// invalidReloads are replacements that a reload rejects.
var invalidReloads = []replacement{
	{reloadedConfig, ``, "config"},
	{reloadedConfig, `{}`, "missing"},
	{reloadedConfig, reloadedConfig[:len(reloadedConfig)/2], "config"},
	{`"seed":"1",`, ``, "seed: missing"},
	{`"cores":1,`, ``, "limits.cores: missing"},
	{`"maxAttempts":3,`, ``, "settings.limits.maxAttempts: missing"},
	{`"coldMs":8000,`, ``, "settings.contract.coldMs: missing"},
	{`"coldMs":8000,`, `"coldMs":null,`, "settings.contract.coldMs: missing"},
	{`{"name":"send","aimMs":2000,`, `{"name":"send",`, "settings.classes.aimMs: missing"},
	{`"credit":5,`, ``, "settings.classes.credit: missing"},
	{`"giveUpMs":4000,"effect":"guarded"`, `"giveUpMs":0,"effect":"guarded"`, "giveUpMs"},
	{`"giveUpMs":4000,"effect":"guarded"`, `"giveUpMs":-4,"effect":"guarded"`, "giveUpMs"},
	{`"maxAttempts":3`, `"maxAttempts":0`, "maxAttempts"},
	{`"maxAttempts":3`, `"maxAttempts":-1`, "maxAttempts"},
	{`"maxAttempts":3`, `"maxAttempts":"3"`, "maxAttempts"},
	{`"classes":[`, `"classes":[],"other":[`, "classes"},
	{`"classes":[`, `"classes":{},"other":[`, "classes"},
	{`"keyTtlMs":8000`, `"keyTtlMs":0`, "keyTtlMs"},
	{`"group":"all",`, ``, "group"},
	{`"name":"send"`, `"name":"read"`, "name"},
	{`"name":"send"`, `"name":""`, "name"},
}

// A reload of a file with a missing or invalid key is rejected as a whole, so that all settings in force stay as they
// are.
func TestReloadRejectsInvalidFiles(t *testing.T) {
	path := configPath(t)
	getenv := environment(path, nil)
	writeConfig(t, path, reloadedConfig)
	inForce, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, valid := range validReloads {
		writeConfig(t, path, valid.in(reloadedConfig))
		if _, err := config.Reload(getenv, inForce); err != nil {
			t.Errorf("%q for %q: %v", valid.to, valid.from, err)
		}
	}
	for _, invalid := range invalidReloads {
		writeConfig(t, path, invalid.in(reloadedConfig))
		if _, err := config.Reload(getenv, inForce); !isLineWith(err, invalid.wantError) {
			t.Errorf("%.40q for %.40q: error %v, want one line with %q",
				invalid.to, invalid.from, err, invalid.wantError)
		}
	}
}
