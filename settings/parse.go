package settings

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Parse reads and checks settings. File names their source in errors. The
// error is an *InvalidError with all problems.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return s, &InvalidError{File: file, Problems: []Problem{yamlProblem("", err)}}
	}
	r := reader{lines: map[string]int{}}
	for i, document := range tree.Docs {
		if i > 0 {
			r.add(Problem{Line: lineOf(document.Body), Found: "a second document", Allowed: "one YAML document"})
			break
		}
		r.section(document.Body, reflect.ValueOf(&s).Elem(), "")
	}
	return s, check(file, s, r.lines, r.problems)
}

// reader decodes a YAML tree into structs and gathers all problems.
type reader struct {
	// lines holds the line of each key that was read.
	lines    map[string]int
	problems []Problem
}

func (r *reader) add(p Problem) { r.problems = append(r.problems, p) }

// section reads the mapping at node into the struct into.
func (r *reader) section(node ast.Node, into reflect.Value, prefix string) {
	if node == nil || node.Type() == ast.NullType || node.Type() == ast.CommentType {
		return
	}
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.add(Problem{Line: lineOf(node), Key: strings.TrimSuffix(prefix, "."), Found: "is not a section", Allowed: "keys " + keysOf(into)})
		return
	}
	for pairs := mapping.MapRange(); pairs.Next(); {
		r.pair(pairs.KeyValue(), into, prefix)
	}
}

// pair reads one key and its value.
func (r *reader) pair(pair *ast.MappingValueNode, into reflect.Value, prefix string) {
	name := pair.Key.GetToken().Value
	path, line := prefix+name, pair.Key.GetToken().Position.Line
	field, ok := fieldOf(into, name)
	if !ok {
		r.add(Problem{Line: line, Key: path, Found: "there is no such key", Allowed: keysOf(into)})
		return
	}
	if first, twice := r.lines[path]; twice {
		r.add(Problem{Line: line, Key: path, Found: fmt.Sprintf("was set on line %d already", first), Allowed: "each key once"})
		return
	}
	r.lines[path] = line
	if field.Kind() == reflect.Struct {
		r.section(pair.Value, field, path+".")
		return
	}
	if err := decodeScalar(pair.Value, field); err != nil {
		p := yamlProblem(path, err)
		p.Line, p.Allowed = line, allowed(path)
		r.add(p)
	}
}

// decodeScalar decodes a value that is not a section.
func decodeScalar(node ast.Node, field reflect.Value) error {
	if node.Type() == ast.NullType {
		return errors.New("has no value")
	}
	if _, ok := node.(ast.ScalarNode); !ok {
		return errors.Newf("is a %s", strings.ToLower(node.Type().String()))
	}
	return yaml.NodeToValue(node, field.Addr().Interface())
}

// yamlProblem returns the problem that an error of the YAML library tells.
func yamlProblem(path string, err error) Problem {
	var described yaml.Error
	if !errors.As(err, &described) {
		return Problem{Key: path, Found: err.Error()}
	}
	p := Problem{Key: path, Found: described.GetMessage()}
	if t := described.GetToken(); t != nil {
		p.Line = t.Position.Line
	}
	return p
}

func lineOf(node ast.Node) int {
	if node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// fieldOf returns the field of a struct for a key.
func fieldOf(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if into.Type().Field(i).Tag.Get("yaml") == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// keysOf lists the keys of a struct.
func keysOf(into reflect.Value) string {
	var keys []string
	for i := range into.NumField() {
		keys = append(keys, into.Type().Field(i).Tag.Get("yaml"))
	}
	slices.Sort(keys)
	return strings.Join(keys, ", ")
}
