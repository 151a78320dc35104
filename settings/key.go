package settings

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Key describes one key of the settings.
type Key struct {
	// Path is the path of the key, as in platform.table.
	Path string
	// Default is the value if the key is not set, or empty if there is none.
	Default string
	// Allowed says which values are allowed.
	Allowed string
}

// Keys returns all keys in the order of the struct fields.
func Keys() []Key {
	var keys []Key
	eachField(reflect.ValueOf(Default()), "", func(path string, f reflect.StructField, v reflect.Value) {
		keys = append(keys, Key{Path: path, Default: formatValue(v), Allowed: allowedValues(f)})
	})
	return keys
}

// eachField calls f for each field that is not a section.
func eachField(v reflect.Value, prefix string, f func(string, reflect.StructField, reflect.Value)) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		path := prefix + field.Tag.Get("yaml")
		if field.Type.Kind() == reflect.Struct {
			eachField(v.Field(i), path+".", f)
			continue
		}
		f(path, field, v.Field(i))
	}
}

func formatValue(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	return fmt.Sprint(v.Interface())
}

// valueOf returns the value of the key at path.
func valueOf(s Settings, path string) string {
	text := ""
	eachField(reflect.ValueOf(s), "", func(p string, _ reflect.StructField, v reflect.Value) {
		if p == path {
			text = formatValue(v)
		}
	})
	return text
}

// allowedAt returns the allowed values of the key at path.
func allowedAt(path string) string {
	for _, k := range Keys() {
		if k.Path == path {
			return k.Allowed
		}
	}
	return ""
}

// allowedValues describes the values that the validate tag of a field allows.
func allowedValues(f reflect.StructField) string {
	rules := map[string]string{}
	for _, rule := range strings.Split(f.Tag.Get("validate"), ",") {
		name, value, _ := strings.Cut(rule, "=")
		rules[name] = value
	}
	least, most := rules["min"], rules["max"]
	switch {
	case hasRule(rules, ruleAddress):
		return "an IP number and a port, as in 127.0.0.1:8080"
	case hasRule(rules, ruleURL):
		return "an http or https URL with an IP number, as in http://127.0.0.1:9000"
	case hasRule(rules, "oneof"):
		return "one of " + strings.ReplaceAll(rules["oneof"], " ", ", ")
	case f.Type.Kind() == reflect.String && hasRule(rules, "required"):
		return "1 to " + most + " characters"
	case f.Type.Kind() == reflect.String:
		return "up to " + most + " characters"
	}
	return least + " to " + most
}

func hasRule(rules map[string]string, name string) bool {
	_, ok := rules[name]
	return ok
}
