package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

func TestConfig(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"version":4,"full":true,"servers":[{"id":"s-1"}]},
"settings":` + agenttest.Settings + `}`
	load := func(text string, env map[string]string) (*config.Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return config.Load(func(name string) string {
			if name == "PROXY_CONFIG" {
				return path
			}
			return env[name]
		})
	}
	c, err := load(good, map[string]string{"PROXY_LISTEN": "127.0.0.1:9"})
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.1:9" || c.Discovery != "127.0.0.1:2" || c.Seed != 0x8c1f30d27a5be964 ||
		c.Known.Version != 4 || c.Cores != 0.5 || len(c.Zones) != 2 || len(c.Settings.Classes) != 3 {
		t.Errorf("read as %+v", c)
	}
	for _, bad := range []struct{ from, to, want string }{
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
		_, err := load(strings.Replace(good, bad.from, bad.to, 1), nil)
		if err == nil || !strings.Contains(err.Error(), bad.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", bad.to, err, bad.want)
		}
	}
	if _, err := config.Load(func(string) string { return "" }); err == nil {
		t.Error("no configuration is accepted")
	}
}

// Whatever a file lacks or gets wrong, the settings in force stay as they are, all of them.
func TestReloadRejectsInvalidFiles(t *testing.T) {
	good := `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":{"version":1,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:9"}]},"settings":` + agenttest.Settings + `}`
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return ""
	}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	now, err := config.Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, fine := range []struct{ from, to string }{
		{"", ""},
		{`{"name":"send"`, `{"name":"later"`},
		{`"effect":"guarded","group":"all","keyTtlMs":8000`, `"effect":"single_shot"`},
		{`"maxAttempts":3`, `"maxAttempts":1`},
		{`"servers":[{"id":"a","addr":"127.0.0.1:9"}]`, `"servers":[]`},
	} {
		write(strings.Replace(good, fine.from, fine.to, 1))
		if _, err := config.Reload(getenv, now); err != nil {
			t.Errorf("%q for %q: %v", fine.to, fine.from, err)
		}
	}
	for _, bad := range []struct{ from, to, want string }{
		{good, ``, "config"},
		{good, `{}`, "missing"},
		{good, good[:len(good)/2], "config"},
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
	} {
		write(strings.Replace(good, bad.from, bad.to, 1))
		_, err := config.Reload(getenv, now)
		if err == nil || !strings.Contains(err.Error(), bad.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.40q for %.40q: error %v, want one line with %q", bad.to, bad.from, err, bad.want)
		}
	}
}
