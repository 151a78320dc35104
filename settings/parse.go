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

// Parse reads and checks settings. The name file stands for their source in
// errors. An error is an *InvalidError with all problems.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return s, &InvalidError{File: file, Problems: []Problem{yamlProblem("", err)}}
	}
	r := reader{lines: map[string]int{}}
	for i, document := range tree.Docs {
		if i > 0 {
			r.addProblem(Problem{Line: lineOf(document.Body), Found: "a second document", Allowed: "one YAML document"})
			break
		}
		r.readSection(document.Body, reflect.ValueOf(&s).Elem(), "")
	}
	return s, check(file, s, r.lines, r.problems)
}

// reader decodes a YAML tree into structs and collects all problems.
type reader struct {
	// lines holds the line of each key that was read.
	lines    map[string]int
	problems []Problem
}

func (r *reader) addProblem(p Problem) { r.problems = append(r.problems, p) }

// readSection reads the mapping at node into the struct into.
func (r *reader) readSection(node ast.Node, into reflect.Value, prefix string) {
	if node == nil || node.Type() == ast.NullType || node.Type() == ast.CommentType {
		return
	}
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.addProblem(Problem{Line: lineOf(node), Key: strings.TrimSuffix(prefix, "."), Found: "is not a section", Allowed: "keys " + keysOf(into)})
		return
	}
	for pairs := mapping.MapRange(); pairs.Next(); {
		r.readPair(pairs.KeyValue(), into, prefix)
	}
}

// readPair reads one key and its value into a field of the struct into.
func (r *reader) readPair(pair *ast.MappingValueNode, into reflect.Value, prefix string) {
	name := pair.Key.GetToken().Value
	path, line := prefix+name, pair.Key.GetToken().Position.Line
	field, ok := fieldOf(into, name)
	if !ok {
		r.addProblem(Problem{Line: line, Key: path, Found: "there is no such key", Allowed: keysOf(into)})
		return
	}
	if first, duplicate := r.lines[path]; duplicate {
		r.addProblem(Problem{Line: line, Key: path, Found: fmt.Sprintf("was set on line %d already", first), Allowed: "each key once"})
		return
	}
	r.lines[path] = line
	if field.Kind() == reflect.Struct {
		r.readSection(pair.Value, field, path+".")
		return
	}
	if err := decodeScalar(pair.Value, field); err != nil {
		p := yamlProblem(path, err)
		p.Line, p.Allowed = line, allowedAt(path)
		r.addProblem(p)
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

// yamlProblem converts an error of the YAML library into a problem.
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

// fieldOf returns the field of a struct that a key sets.
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
