package resource

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// namePattern matches valid names of resources and keys and values of labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// specs holds the type of each kind's spec.
var specs = map[Kind]reflect.Type{
	KindBackendServer: reflect.TypeFor[BackendServerSpec](),
	KindPool:          reflect.TypeFor[PoolSpec](),
	KindService:       reflect.TypeFor[ServiceSpec](),
	KindTeam:          reflect.TypeFor[TeamSpec](),
}

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(specs))
}

// Problem describes one invalid field of a resource.
type Problem struct {
	// Field is the path of the field, as in spec.slots.
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// InvalidError lists all problems of an invalid resource.
type InvalidError struct {
	Kind     Kind
	Name     string
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		parts = append(parts, p.Field+": "+p.Reason)
	}
	return fmt.Sprintf("%s %s: %s", e.Kind, e.Name, strings.Join(parts, "; "))
}

// Check returns an *InvalidError with all problems of a resource, regardless of
// other resources, or nil.
func Check(o Object) error {
	var problems []Problem
	add := func(field, format string, args ...any) {
		problems = append(problems, Problem{Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if !namePattern.MatchString(o.Name) {
		add("name", "%q does not match %s", o.Name, namePattern)
	}
	for _, k := range slices.Sorted(maps.Keys(o.Labels)) {
		if !namePattern.MatchString(k) || !namePattern.MatchString(o.Labels[k]) {
			add("labels."+k, "key and value %q must match %s", o.Labels[k], namePattern)
		}
	}
	if t, ok := specs[o.Kind]; ok {
		problems = append(problems, checkSpec(t, o.Spec)...)
	} else {
		add("kind", "%q is not one of %v", o.Kind, Kinds())
	}
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Kind: o.Kind, Name: o.Name, Problems: problems}
}

// checkSpec decodes each field of a spec separately, so that an error in one
// field does not hide another, and then checks the ranges.
func checkSpec(t reflect.Type, data json.RawMessage) []Problem {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return []Problem{{Field: "spec", Reason: "is not an object"}}
	}
	var problems []Problem
	spec := reflect.New(t)
	undecodable := map[string]bool{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		value, ok := values[name]
		delete(values, name)
		if !ok {
			continue
		}
		decoder := json.NewDecoder(bytes.NewReader(value))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(spec.Elem().Field(i).Addr().Interface()); err != nil {
			undecodable[name] = true
			problems = append(problems, Problem{Field: "spec." + name, Reason: "must be of type " + t.Field(i).Type.Kind().String()})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		problems = append(problems, Problem{Field: "spec." + name, Reason: "is not a known field"})
	}
	return append(problems, checkRanges(spec.Interface(), undecodable)...)
}

// checkRanges checks a spec against its validate tags, except the fields in
// skip.
func checkRanges(spec any, skip map[string]bool) []Problem {
	check := validator.New(validator.WithRequiredStructEnabled())
	check.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	var failures validator.ValidationErrors
	if !errors.As(check.Struct(spec), &failures) {
		return nil
	}
	var problems []Problem
	for _, f := range failures {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		if skip[path] {
			continue
		}
		rule := strings.TrimSpace(f.Tag() + " " + f.Param())
		problems = append(problems, Problem{Field: "spec." + path, Reason: fmt.Sprintf("%v is not allowed (%s)", f.Value(), rule)})
	}
	return problems
}

// pool returns the name of the pool that a resource refers to, or an empty
// string.
func (o Object) pool() string {
	if o.Kind != KindBackendServer && o.Kind != KindService {
		return ""
	}
	var reference struct{ Pool string }
	_ = json.Unmarshal(o.Spec, &reference)
	return reference.Pool
}

// dependsOnOthers returns true if a change is valid only as long as other
// resources do not change.
func (c Change) dependsOnOthers() bool {
	return (c.Delete && c.Kind == KindPool) || (!c.Delete && c.pool() != "")
}

// check returns an *InvalidError with all problems of a change, or nil.
func (s *Snapshot) check(c Change) error {
	var invalid *InvalidError
	if !c.Delete && !errors.As(Check(c.Object), &invalid) {
		invalid = &InvalidError{Kind: c.Kind, Name: c.Name}
	}
	if c.Delete {
		invalid = &InvalidError{Kind: c.Kind, Name: c.Name}
		if c.Kind == KindPool {
			invalid.Problems = s.poolReferences(c.Name)
		}
	} else if pool := c.pool(); pool != "" && s.Objects[KindPool][pool].Name == "" {
		invalid.Problems = append(invalid.Problems, Problem{Field: "spec.pool", Reason: "there is no pool " + pool})
	}
	if len(invalid.Problems) == 0 {
		return nil
	}
	return invalid
}

// poolReferences returns a problem for each resource that refers to a pool.
func (s *Snapshot) poolReferences(pool string) []Problem {
	var problems []Problem
	for _, kind := range []Kind{KindBackendServer, KindService} {
		for _, name := range slices.Sorted(maps.Keys(s.Objects[kind])) {
			if s.Objects[kind][name].pool() == pool {
				problems = append(problems, Problem{Field: "name", Reason: fmt.Sprintf("%s %s uses the pool", kind, name)})
			}
		}
	}
	return problems
}
