package config

import (
	"encoding/json"
	"testing"
)

// A key is missing if the successor lacks it, or has null or a value of another type in its place. Entries of the
// endpoint list may change, and keys that are optional or that no page names may be absent.
func TestMissingKeyIsNamedByItsPath(t *testing.T) {
	const inForce = `{"seed":"1","extra":1,"limits":{"cores":1},"known":{"servers":[{"id":"s"}]},"settings":{
"classes":[{"name":"a","group":"x","aimStretch":2},{"name":"b","aimStretch":2}],"familyInfo":{"warmKeys":true}}}`
	const known, settings = `"known":{"servers":[]}`, `"settings":{"classes":[],"familyInfo":{}}`
	for successor, want := range map[string]string{
		inForce: "",
		`{"seed":"1","limits":{"cores":1},` + known + `,` + settings + `}`:                          "",
		`{"seed":"1","limits":{"cores":1},"known":{"servers":[{}]},` + settings + `}`:               "",
		`{"limits":{"cores":1},` + known + `,` + settings + `}`:                                     "seed",
		`{"seed":"1","limits":{"cores":null},` + known + `,` + settings + `}`:                       "limits.cores",
		`{"seed":"1","limits":[],` + known + `,` + settings + `}`:                                   "limits",
		`{"seed":"1","limits":{"cores":1},"known":{},` + settings + `}`:                             "known.servers",
		`{"seed":"1","limits":{"cores":1},` + known + `,"settings":{"classes":[]}}`:                 "settings.familyInfo",
		`{"seed":"1","limits":{"cores":1},` + known + `,"settings":{"classes":{},"familyInfo":{}}}`: "settings.classes",
		`{"seed":"1","limits":{"cores":1},` + known +
			`,"settings":{"classes":[{"group":"x"}],"familyInfo":{}}}`: "settings.classes.name",
		`{"seed":"1","limits":{"cores":1},` + known +
			`,"settings":{"classes":[{"name":"a"}],"familyInfo":{}}}`: "",
	} {
		var before, after document
		if err := json.Unmarshal([]byte(inForce), &before); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal([]byte(successor), &after); err != nil {
			t.Fatal(err)
		}
		if key := before.missingIn(after, ""); key != want {
			t.Errorf("%s: missing key %q, want %q", successor, key, want)
		}
	}
}
