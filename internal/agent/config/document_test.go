package config

import (
	"encoding/json"
	"testing"
)

// A key is missing if the successor lacks it, or has null or a value of another type in its place. Entries of the
// endpoint list may change.
func TestMissingKeyIsNamedByItsPath(t *testing.T) {
	const inForce = `{"seed":"1","limits":{"cores":1},"classes":[{"name":"a","group":"x"},{"name":"b"}],
"servers":[{"id":"s"}]}`
	for successor, want := range map[string]string{
		inForce: "",
		`{"limits":{"cores":1},"classes":[],"servers":[]}`:                          "seed",
		`{"seed":"1","limits":{"cores":null},"classes":[],"servers":[]}`:            "limits.cores",
		`{"seed":"1","limits":[],"classes":[],"servers":[]}`:                        "limits",
		`{"seed":"1","limits":{"cores":1},"classes":{},"servers":[]}`:               "classes",
		`{"seed":"1","limits":{"cores":1},"classes":[{"group":"x"}],"servers":[]}`:  "classes.name",
		`{"seed":"1","limits":{"cores":1},"classes":[{"name":"a"}],"servers":[{}]}`: "",
	} {
		var before, after document
		if err := json.Unmarshal([]byte(inForce), &before); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal([]byte(successor), &after); err != nil {
			t.Fatal(err)
		}
		if key := before.missingIn(after); key != want {
			t.Errorf("%s: missing key %q, want %q", successor, key, want)
		}
	}
}
