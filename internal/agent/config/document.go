package config

import "maps"

// document is a JSON object as decoded. Documents are compared to find the keys that a later one lacks: a key that is
// missing would be read as a zero, which nobody has set.
type document map[string]any

// section is the object under a key; ok is false where there is none.
func (d document) section(key string) (section document, ok bool) {
	section, ok = d[key].(map[string]any)
	return section, ok
}

// withSection is a copy of the document with another object under a key.
func (d document) withSection(key string, section document) document {
	changed := document{}
	maps.Copy(changed, d)
	changed[key] = map[string]any(section) // the type of decoded objects
	return changed
}

// only is the part of the document that has the given keys.
func (d document) only(keys []string) document {
	part := document{}
	for _, key := range keys {
		if value, ok := d[key]; ok {
			part[key] = value
		}
	}
	return part
}

// missingIn names a key that the document has and its successor lacks, as a path with dots; "" if there is none. In a
// list of objects only the keys count that all of them have.
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

// missingWithin names a key that the value of a key has and its successor lacks; ok is false where the successor is
// of another type.
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

// missingInList names a key that all objects of a list have and one of its successor lacks.
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

// commonKeys has the keys that all objects of a list have, without those that only classes that are idempotent by key
// need.
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
