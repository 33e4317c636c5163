package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder decodes a YAML tree into a struct. Unlike the library's strict mode it
// reports all unknown keys, and it records the position of each key for later
// checks.
type decoder struct {
	file      string
	positions map[string]Position // of each key's value, by dotted path
	problems  Problems
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) report(at Position, key, message, fix string) {
	d.problems = append(d.problems, Problem{File: d.file, Position: at, Key: key, Message: message, Fix: fix})
}

// value decodes a node into out, which has one of the types used in Settings.
func (d *decoder) value(node ast.Node, key string, out reflect.Value) {
	at := position(node)
	d.positions[key] = at
	if _, empty := node.(*ast.NullNode); empty {
		d.report(at, key, "has no value", "give it one, or leave the key out")
		return
	}
	switch {
	case out.Type() == durationType:
		d.duration(node, key, out)
	case out.Kind() == reflect.Struct:
		d.mapping(node, key, out)
	case out.Kind() == reflect.Slice:
		d.sequence(node, key, out)
	default:
		d.scalar(node, key, out)
	}
}

func (d *decoder) mapping(node ast.Node, key string, out reflect.Value) {
	pairs, ok := mappingPairs(node)
	if !ok {
		d.report(position(node), key, "must be a group of keys", "write its keys indented below it")
		return
	}
	fields := fieldsByKey(out)
	for _, pair := range pairs {
		name := keyName(pair.Key)
		path := join(key, name)
		field, known := fields[name]
		if !known {
			d.report(position(pair.Key), path, "unknown key", suggestKey(name, fields))
			continue
		}
		d.value(pair.Value, path, field)
	}
}

func (d *decoder) sequence(node ast.Node, key string, out reflect.Value) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(position(node), key, "must be a list", "write each entry on a line that starts with a dash")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(list.Values), len(list.Values)))
	for i, entry := range list.Values {
		d.value(entry, fmt.Sprintf("%s[%d]", key, i), out.Index(i))
	}
}

func (d *decoder) scalar(node ast.Node, key string, out reflect.Value) {
	switch out.Kind() {
	case reflect.String:
		d.text(node, key, out)
	case reflect.Bool:
		d.boolean(node, key, out)
	default:
		d.integer(node, key, out)
	}
}

func (d *decoder) text(node ast.Node, key string, out reflect.Value) {
	switch n := node.(type) {
	case *ast.StringNode:
		out.SetString(n.Value)
	case *ast.LiteralNode:
		out.SetString(n.Value.Value)
	default:
		d.report(position(node), key, "must be text", "put it in double quotes")
	}
}

func (d *decoder) boolean(node ast.Node, key string, out reflect.Value) {
	n, ok := node.(*ast.BoolNode)
	if !ok {
		d.report(position(node), key, "must be true or false", "write true or false, without quotes")
		return
	}
	out.SetBool(n.Value)
}

func (d *decoder) integer(node ast.Node, key string, out reflect.Value) {
	const fix = "write digits only, without quotes"
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		d.report(position(node), key, "must be a whole number", fix)
		return
	}
	v, err := strconv.ParseInt(strings.ReplaceAll(n.Token.Value, "_", ""), 10, 64)
	if err != nil || out.OverflowInt(v) {
		d.report(position(node), key, fmt.Sprintf("%s is not a decimal number in range", n.Token.Value), fix)
		return
	}
	out.SetInt(v)
}

// duration refuses numbers without a unit, which would mean nanoseconds.
func (d *decoder) duration(node ast.Node, key string, out reflect.Value) {
	const fix = `write a number and a unit, such as "250ms", "5s" or "1m"`
	n, ok := node.(*ast.StringNode)
	if !ok {
		d.report(position(node), key, "must be a time with a unit", fix)
		return
	}
	v, err := time.ParseDuration(n.Value)
	if err != nil {
		d.report(position(node), key, fmt.Sprintf("%q is not a time", n.Value), fix)
		return
	}
	out.SetInt(int64(v))
}

func mappingPairs(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func fieldsByKey(out reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, out.NumField())
	for i := range out.NumField() {
		fields[yamlName(out.Type().Field(i))] = out.Field(i)
	}
	return fields
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func keyName(key ast.MapKeyNode) string {
	if tok := key.GetToken(); tok != nil {
		return tok.Value
	}
	return key.String()
}

func position(node ast.Node) Position {
	tok := node.GetToken()
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		tok = m.Values[0].Key.GetToken()
	}
	if m, ok := node.(*ast.MappingValueNode); ok {
		tok = m.Key.GetToken()
	}
	return tokenPosition(tok)
}

func tokenPosition(tok *token.Token) Position {
	if tok == nil || tok.Position == nil {
		return Position{Line: 1, Column: 1}
	}
	return Position{Line: tok.Position.Line, Column: tok.Position.Column}
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
