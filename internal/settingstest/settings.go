// Package settingstest provides settings for tests that must hold for each key of the settings.
package settingstest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// baseText is the JSON text of settings with all keys.
const baseText = `{"classes":[
 {"name":"read","aimMs":300,"giveUpMs":1000,"effect":"free","group":"zone","keyTtlMs":800,"credit":1,
  "lateShare":0.2,"streamed":false},
 {"name":"order","aimMs":300,"giveUpMs":1000,"effect":"single_shot","group":"zone","keyTtlMs":800,"credit":4,
  "lateShare":0.2,"streamed":false},
 {"name":"send","aimMs":300,"giveUpMs":1000,"effect":"guarded","group":"zone","keyTtlMs":800,"credit":2,
  "lateShare":0.2,"streamed":false}],
 "clients":{"marksRetry":true},
 "contract":{"answerSlackMs":20,"askWithinMs":1600,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,
  "fallMultiple":2.5,"tipAfterMs":1000},
 "failureDomains":["east","west"],"shapes":["big","small"],"familyInfo":{"warmKeys":false},"index":0,
 "replicasOfMe":3,
 "limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600,
  "parallelTries":false,"probing":false,"retryAfter":true,"openCap":1000},
 "membershipMode":"pushed","objectiveMix":{"whole":0.6,"worstWindow":0.05,"worstClass":0.35},
 "prices":{"crossZone":0.03,"handshake":0,"connection":0,"lateFail":0.05,"probe":0,"waste":0.03,
  "membershipMode":0},
 "roundMs":5,"weights":"nominal","worthBy":"request","zone":0}`

// changedText is a JSON object that has, for each key of the settings, a value that differs from the one in baseText.
// A key below classes gets the value in every class.
const changedText = `{"classes.aimMs":450,"classes.credit":7,"classes.effect":"single_shot","classes.giveUpMs":1500,
 "classes.group":"cell","classes.keyTtlMs":100,"classes.lateShare":0.9,"classes.name":"renamed",
 "classes.streamed":true,"clients.marksRetry":false,"contract.answerSlackMs":60,"contract.askWithinMs":9000,
 "contract.coldFrom":0.1,"contract.coldMs":30000,"contract.drainGraceMs":900,"contract.fallMultiple":4,
 "contract.tipAfterMs":3000,"failureDomains":["north","west","east","south"],"familyInfo.warmKeys":true,"index":1,
 "limits.cancelling":false,"limits.connectTimeoutMs":250,"limits.keepaliveMs":4000,"limits.maxAttempts":1,
 "limits.maxRetryAfterMs":900,"limits.openCap":2,"limits.parallelTries":true,"limits.probing":true,
 "limits.retryAfter":false,"membershipMode":"on_request","objectiveMix.whole":0.1,"objectiveMix.worstClass":0.9,
 "objectiveMix.worstWindow":0.5,"prices.connection":0.2,"prices.crossZone":0.9,"prices.handshake":0.3,
 "prices.lateFail":0.6,"prices.membershipMode":0.1,"prices.probe":0.1,"prices.waste":0.4,"replicasOfMe":40,
 "roundMs":40,"shapes":["small","huge","big"],"weights":"live","worthBy":"work","zone":1}`

// Variant is the JSON text of settings that differ from Base in one key.
type Variant struct {
	Key  string
	Text string
}

// Base returns the JSON text of the settings from which the variants differ.
func Base() string { return baseText }

// Variants returns a variant for each key that balancer.Settings reads. It fails the test if a key has none.
func Variants(tb testing.TB) []Variant {
	tb.Helper()
	var changedValues map[string]any
	if err := json.Unmarshal([]byte(changedText), &changedValues); err != nil {
		tb.Fatal(err)
	}
	var variants []Variant
	for _, key := range keysOf(reflect.TypeFor[balancer.Settings](), "") {
		value, ok := changedValues[key]
		if !ok {
			tb.Errorf("settingstest: key %s has no changed value: add one", key)
			continue
		}
		variants = append(variants, Variant{Key: key, Text: withValue(tb, key, value)})
	}
	if len(variants) != len(changedValues) {
		tb.Errorf("settingstest: %d keys and %d changed values", len(variants), len(changedValues))
	}
	return variants
}

// keysOf returns the dotted keys that encoding/json reads into a struct type. Elements of a slice have no index.
func keysOf(structType reflect.Type, prefix string) []string {
	var keys []string
	for i := range structType.NumField() {
		field := structType.Field(i)
		key := prefix + field.Tag.Get("json")
		switch fieldType := field.Type; {
		case fieldType.Kind() == reflect.Struct:
			keys = append(keys, keysOf(fieldType, key+".")...)
		case fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct:
			keys = append(keys, keysOf(fieldType.Elem(), key+".")...)
		default:
			keys = append(keys, key)
		}
	}
	return keys
}

// withValue returns the base settings with another value of a key.
func withValue(tb testing.TB, key string, value any) string {
	tb.Helper()
	var settings map[string]any
	if err := json.Unmarshal([]byte(baseText), &settings); err != nil {
		tb.Fatal(err)
	}
	section, name, nested := strings.Cut(key, ".")
	switch object := settings[section].(type) {
	case []any:
		if !nested {
			settings[section] = value
			break
		}
		for i, element := range object {
			element.(map[string]any)[name] = uniqueValue(name, value, i)
		}
	case map[string]any:
		object[name] = value
	default:
		settings[section] = value
	}
	text, err := json.Marshal(settings)
	if err != nil {
		tb.Fatal(err)
	}
	return string(text)
}

// uniqueValue returns the value of a key in the class with the given index. Names of classes must be unique.
func uniqueValue(key string, value any, class int) any {
	if key == "name" {
		return fmt.Sprint(value, class)
	}
	return value
}
