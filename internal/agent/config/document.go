package config

import (
	"maps"
	"strings"
)

// document is a decoded JSON object. Documents are compared to find keys that a later one lacks, because a missing key
// would be read as a zero value that nobody has set.
type document map[string]any

// section returns the object under a key; ok is false if there is none.
func (d document) section(key string) (section document, ok bool) {
	section, ok = d[key].(map[string]any)
	return section, ok
}

// valueAt returns the value at a path of object keys, or nil if there is none.
func (d document) valueAt(path []string) any {
	value := any(map[string]any(d))
	for _, key := range path {
		object, _ := value.(map[string]any) // nil, which has no keys, for other types
		value = object[key]
	}
	return value
}

// joinKeys returns a path of object keys as it appears in messages.
func joinKeys(path []string) string { return strings.Join(path, ".") }

// withSection returns a copy of the document with the object under a key replaced.
func (d document) withSection(key string, section document) document {
	changed := document{}
	maps.Copy(changed, d)
	changed[key] = map[string]any(section) // the type that json.Unmarshal uses for objects
	return changed
}

// only returns a document with only the given keys.
func (d document) only(keys []string) document {
	part := document{}
	for _, key := range keys {
		if value, ok := d[key]; ok {
			part[key] = value
		}
	}
	return part
}

// missingIn returns a key that the document has and its successor lacks, as a dotted path, or "" if there is none. In a
// list of objects, only the keys that all of them have are required.
func (d document) missingIn(successor document) string {
	for key, value := range d {
		newValue := successor[key]
		if newValue == nil && value != nil {
			return key
		}
		within, ok := missingWithin(key, value, newValue)
		if !ok {
			return key
		}
		if within != "" {
			return key + "." + within
		}
	}
	return ""
}

// missingWithin compares the value of a key with its successor. It returns a key that is present within the value but
// missing from the successor, or "" if there is none. ok is false if the successor has another type.
func missingWithin(key string, value, successor any) (within string, ok bool) {
	switch value := value.(type) {
	case map[string]any:
		object, ok := successor.(map[string]any)
		if !ok {
			return "", false
		}
		return document(value).missingIn(object), true
	case []any:
		list, ok := successor.([]any)
		if !ok {
			return "", false
		}
		if key == "known" || key == "servers" {
			return "", true // the endpoint list changes at any time
		}
		return missingInList(value, list), true
	}
	return "", true
}

// missingInList returns a key that all objects of a list have and an object of its successor lacks.
func missingInList(list, successor []any) string {
	common := commonKeys(list)
	for _, item := range successor {
		object, ok := item.(map[string]any)
		if !ok {
			continue
		}
		if key := common.missingIn(object); key != "" {
			return key
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have, except those that only classes that are idempotent by
// key need.
func commonKeys(list []any) document {
	var common document
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
			delete(common, "group")
			delete(common, "keyTtlMs")
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
