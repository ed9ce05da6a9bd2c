package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// completeClass has all keys of a class, in the form of a class that is idempotent by key.
const completeClass = `{"name":"write","aimMs":2000,"aimStretch":1.5,"giveUpMs":4000,"effect":"guarded","group":"all",
"keyTtlMs":8000,"credit":2,"lateShare":0.2,"streamed":false,"newInClass":1}`

// completeConfig has all keys of the platform's pages, and some that no page names.
const completeConfig = `{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","management":"127.0.0.1:3",
"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":256,"newInProcess":1},
"known":{"version":1,"full":true,"servers":[]},"newAtTop":1,"settings":{"classes":[
{"name":"read","aimMs":2000,"aimStretch":2,"giveUpMs":4000,"effect":"free","group":"all","keyTtlMs":8000,"credit":1,
"lateShare":0.2,"streamed":false,"newInClass":1},` + completeClass + `],
"clients":{"marksRetry":true},"contract":{"answerSlackMs":20,"askWithinMs":1600,"coldFrom":0.3,"coldMs":8000,
"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},"failureDomains":["east","west"],"family":"mesh",
"familyInfo":{"passesDeadline":true,"warmKeys":true},"index":0,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"cpuUsPerRequest":0,"cpuUsPerS":9000,"keepaliveMs":30000,
"maxAttempts":3,"maxRetryAfterMs":600,"maxStreams":1,"openCap":1000,"parallelTries":false,"peerMessages":false,
"probing":true,"retryAfter":true,"newInLimits":1},"membershipMode":"pushed","newInSettings":{"deep":1},
"objectiveMix":{"whole":1,"worstClass":0,"worstTenant":0,"worstWindow":0},"overShareWorth":0.1,
"prices":{"connection":0,"crossZone":0,"fleet":0,"handshake":0,"lateFail":0,"membershipMode":0,"moves":0,"origin":0,
"peer":0,"probe":0,"waste":0},"replicasOfMe":1,"report":{"how":"off","names":[]},"roundMs":5,"shapes":["big","small"],
"tenants":[{"name":"t1","portion":0.5,"quotaPerS":10},{"name":"t2","portion":0.5,"quotaPerS":10}],"tier":0,
"tiers":["backends"],"weights":"nominal","worthBy":"request","zone":0}}`

// optionalKeys are the keys of completeConfig that a file may lack: those that the pages call optional, not used, or of
// use only for classes that are idempotent by key, and those that no page names.
var optionalKeys = []string{
	"settings.classes.aimStretch", "settings.familyInfo.passesDeadline", "settings.familyInfo.warmKeys",
	"settings.prices.fleet", "settings.classes.group", "settings.classes.keyTtlMs",
	"newAtTop", "limits.newInProcess", "settings.newInSettings", "settings.newInSettings.deep",
	"settings.limits.newInLimits", "settings.classes.newInClass",
}

// decode decodes a JSON object.
func decode(t *testing.T, text string) map[string]any {
	t.Helper()
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		t.Fatal(err)
	}
	return object
}

// encode returns the JSON text of an object.
func encode(t *testing.T, object any) string {
	t.Helper()
	text, err := json.Marshal(object)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// keyPaths returns the paths of all keys of an object. A key of the objects of a list has the path of the list.
func keyPaths(object map[string]any, parent string) []string {
	var paths []string
	for key, value := range object {
		path := strings.TrimPrefix(parent+"."+key, ".")
		paths = append(paths, path)
		if list, ok := value.([]any); ok && len(list) > 0 {
			value = list[0]
		}
		if within, ok := value.(map[string]any); ok {
			paths = append(paths, keyPaths(within, path)...)
		}
	}
	return paths
}

// deleteKey deletes the key at a path, in the first object of each list on the way.
func deleteKey(object map[string]any, path string) {
	key, rest, nested := strings.Cut(path, ".")
	if !nested {
		delete(object, key)
		return
	}
	value := object[key]
	if list, ok := value.([]any); ok {
		value = list[0]
	}
	deleteKey(value.(map[string]any), rest)
}

// parse parses a configuration.
func parse(t *testing.T, text string) *config.Config {
	t.Helper()
	cfg, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// A file that lacks a single key is rejected, and the error names the key, unless the key is optional. Discovery's
// settings are checked in the same way.
func TestReloadRequiresAllButOptionalKeys(t *testing.T) {
	inForce := parse(t, completeConfig)
	paths := keyPaths(decode(t, completeConfig), "")
	for _, path := range paths {
		object := decode(t, completeConfig)
		deleteKey(object, path)
		optional := slices.Contains(optionalKeys, path)
		check := func(source, wantError string, err error) {
			t.Helper()
			if optional && err != nil || !optional && !isLineWith(err, wantError) {
				t.Errorf("%s without %s: error %v, optional: %v", source, path, err, optional)
			}
		}
		_, err := config.ParseReload([]byte(encode(t, object)), inForce)
		check("a file", path+": missing", err)
		settings, ok := object["settings"].(map[string]any)
		isOwnKey := path == "settings.index" || path == "settings.zone" // they always come from the file
		if ok && !isOwnKey && strings.HasPrefix(path, "settings.") {
			update := &endpoint.Settings{Version: 1, Value: json.RawMessage(encode(t, settings))}
			_, err = inForce.WithServiceSettings(update)
			check("discovery", strings.TrimPrefix(path, "settings.")+": missing", err)
		}
	}
	for _, path := range optionalKeys {
		if !slices.Contains(paths, path) {
			t.Errorf("the complete configuration has no key %s", path)
		}
	}
}

// A file that adds a class without an optional key that the others have is accepted (review of 2026-12-05: it was
// rejected whole, and with it the new address of discovery). The key may be missing from the old classes as well.
func TestReloadAcceptsClassesWithoutOptionalKeys(t *testing.T) {
	inForce := parse(t, completeConfig)
	short := strings.Replace(completeClass, `"aimStretch":1.5,`, ``, 1)
	added := strings.Replace(strings.Replace(short, `"write"`, `"other"`, 1), `"newInClass":1`, `"newer":1`, 1)
	for name, text := range map[string]string{
		"added class":        strings.Replace(completeConfig, completeClass, completeClass+","+added, 1),
		"added, old without": strings.Replace(completeConfig, completeClass, short+","+added, 1),
		"no class has it": strings.ReplaceAll(strings.Replace(completeConfig, completeClass, short+","+added, 1),
			`"aimStretch":2,`, ``),
	} {
		moved := strings.Replace(text, "127.0.0.1:2", "127.0.0.1:9", 1)
		next, err := config.ParseReload([]byte(moved), inForce)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(next.Settings.Classes) != 3 || next.Discovery != "127.0.0.1:9" {
			t.Errorf("%s: %d classes, discovery at %s", name, len(next.Settings.Classes), next.Discovery)
		}
		// The classes of the file in force then have no such key, and the next file may have it again.
		if _, err := config.ParseReload([]byte(completeConfig), next); err != nil {
			t.Errorf("%s, and back: %v", name, err)
		}
	}
	for _, key := range []string{`"credit":2,`, `"streamed":false,`, `"lateShare":0.2,`} {
		broken := strings.Replace(added, key, ``, 1)
		text := strings.Replace(completeConfig, completeClass, completeClass+","+broken, 1)
		if _, err := config.ParseReload([]byte(text), inForce); !isLineWith(err, "settings.classes.") {
			t.Errorf("added class without %s: error %v", key, err)
		}
	}
}

// A class that is idempotent by key needs its group and window, though other classes don't.
func TestReloadRequiresGroupAndWindowOfGuardedClasses(t *testing.T) {
	inForce := parse(t, completeConfig)
	for key, want := range map[string]string{`"group":"all",`: "group", `"keyTtlMs":8000,`: "keyTtlMs"} {
		class := strings.Replace(strings.ReplaceAll(completeClass, "\n", ""), key, ``, 1)
		text := strings.Replace(completeConfig, completeClass, class, 1)
		if _, err := config.ParseReload([]byte(text), inForce); !isLineWith(err, fmt.Sprint("classes[1].", want)) {
			t.Errorf("without %s: error %v", key, err)
		}
	}
}
