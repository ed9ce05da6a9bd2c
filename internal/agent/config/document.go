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

// missingIn returns a required key that the document has and its successor lacks, as a dotted path, or "" if there is
// none. parent is the path of the document in the file. In a list of objects, only the keys that all of them have are
// required.
func (d document) missingIn(successor document, parent string) string {
	for key, value := range d {
		path := joinKeys([]string{parent, key})
		if parent == "" {
			path = key
		}
		if value == nil || !isRequiredKey(path) {
			continue
		}
		if missing := missingAt(path, value, successor[key]); missing != "" {
			return missing
		}
	}
	return ""
}

// missingAt compares the value at a path with its successor. It returns the path if there is no successor of the same
// type, the path of a required key that is missing within the successor, or "" if nothing is missing.
func missingAt(path string, value, successor any) string {
	if successor == nil {
		return path
	}
	switch value := value.(type) {
	case map[string]any:
		object, ok := successor.(map[string]any)
		if !ok {
			return path
		}
		return document(value).missingIn(object, path)
	case []any:
		list, ok := successor.([]any)
		if !ok {
			return path
		}
		return missingInList(path, value, list)
	}
	return ""
}

// missingInList returns a required key that all objects of the list at a path have and an object of its successor
// lacks.
func missingInList(path string, list, successor []any) string {
	common := commonKeys(list)
	for _, item := range successor {
		object, ok := item.(map[string]any)
		if !ok {
			continue
		}
		if key := common.missingIn(object, path); key != "" {
			return key
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have.
func commonKeys(list []any) document {
	var common document
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
