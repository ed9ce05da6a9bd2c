package config_test

import (
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// The section "control" adds addresses to the first one. Its errors name the invalid key, on one line.
func TestControlSection(t *testing.T) {
	load := func(control string) (*config.Config, error) {
		return config.Parse([]byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
"limits":{"cores":1,"memory_mb":64,"sockets":256},` + control + `"settings":` + agenttest.Settings + `}`))
	}
	for control, want := range map[string]string{
		``:                                     "127.0.0.1:2",
		`"control":{"service":"pay"},`:         "127.0.0.1:2",
		`"control":{"addresses":["[::1]:3"]},`: "127.0.0.1:2 [::1]:3",
		`"control":{"addresses":["a:3","127.0.0.1:2","a:3"],"service":"s"},`: "127.0.0.1:2 a:3",
	} {
		cfg, err := load(control)
		if err != nil {
			t.Errorf("%s: %v", control, err)
		} else if got := strings.Join(cfg.DiscoveryAddresses(), " "); got != want {
			t.Errorf("%s: addresses %s, want %s", control, got, want)
		}
	}
	for control, want := range map[string]string{
		`null`:                               "control: must have service, addresses or both",
		`{}`:                                 "control: must have service, addresses or both",
		`[]`:                                 "control: ",
		`7`:                                  "control: ",
		`{"service":""}`:                     `control: service: "" is not a valid name`,
		`{"service":null}`:                   `control: service: "" is not a valid name`,
		`{"service":"a/b"}`:                  `control: service: "a/b" is not a valid name`,
		`{"service":"a\nb"}`:                 `control: service: "a\nb" is not a valid name`,
		`{"service":7}`:                      "control: service: cannot be a number",
		`{"addresses":[]}`:                   "control: addresses: must contain at least one address, is []",
		`{"addresses":null}`:                 "control: addresses: must contain at least one address, is null",
		`{"addresses":"a:1"}`:                "control: addresses: cannot be a string",
		`{"addresses":["a:1","b"]}`:          `control: addresses[1]: "b" is not a host:port address`,
		`{"addresses":[":1"]}`:               `control: addresses[0]: ":1" is not a host:port address`,
		`{"addresses":["a:0"]}`:              `control: addresses[0]: "a:0" is not a host:port address`,
		`{"addresses":["a:http"]}`:           `control: addresses[0]: "a:http" is not a host:port address`,
		`{"addresses":["a/b:1"]}`:            `control: addresses[0]: "a/b:1" is not a host:port address`,
		`{"service":"pay","adresses":["a"]}`: `control: unknown field "adresses"`,
	} {
		_, err := load(`"control":` + control + `,`)
		if err == nil || !strings.HasPrefix(err.Error(), "config: "+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", control, err, want)
		}
	}
}
