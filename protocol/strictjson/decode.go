// Package strictjson decodes JSON documents that people write by hand. Unlike
// encoding/json it reports every mistake at once, each with its JSON path:
// unknown and repeated fields, wrong types, numbers out of range and null.
package strictjson

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Present records which fields a document contained, by JSON path.
type Present map[string]bool

// Decode fills the struct that dst points to. It supports strings, booleans,
// integers, floats, slices, structs, pointers to these and types with
// UnmarshalText. Field names come from json tags; the tag required:"true" demands
// a field, enum:"a,b" lists the strings it may have, and min:"1" is the smallest
// number, or the smallest length of a list. A value of the wrong type leaves its field
// unchanged.
func Decode(data []byte, dst any) (Present, Faults) {
	d := decoder{present: Present{}}
	n, err := parseTree(data)
	if err != nil {
		return d.present, Faults{{Text: err.Error()}}
	}
	d.value("", n, reflect.ValueOf(dst).Elem())
	return d.present, d.faults
}

type decoder struct {
	present Present
	faults  Faults
}

func (d *decoder) mismatch(path, want string, n node) {
	d.faults.Add(path, fmt.Sprintf("want %s, got %s", want, n.kind()))
}

func (d *decoder) value(path string, n node, v reflect.Value) {
	if n.value == nil {
		d.faults.Add(path, "null is not allowed; leave the field out instead")
		return
	}
	if v.CanAddr() {
		if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
			d.text(path, n, u)
			return
		}
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(path, n, v.Elem())
	case reflect.Struct:
		d.object(path, n, v)
	case reflect.Slice:
		d.list(path, n, v)
	case reflect.String:
		if s, ok := n.value.(string); ok {
			v.SetString(s)
			return
		}
		d.mismatch(path, "a string", n)
	case reflect.Bool:
		if b, ok := n.value.(bool); ok {
			v.SetBool(b)
			return
		}
		d.mismatch(path, "true or false", n)
	default:
		d.number(path, n, v)
	}
}

func (d *decoder) text(path string, n node, u encoding.TextUnmarshaler) {
	s, ok := n.value.(string)
	if !ok {
		d.mismatch(path, "a string", n)
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.faults.Add(path, err.Error())
	}
}

func (d *decoder) number(path string, n node, v reflect.Value) {
	num, ok := n.value.(json.Number)
	if v.CanFloat() {
		f, err := num.Float64()
		if !ok {
			d.mismatch(path, "a number", n)
		} else if err != nil {
			d.faults.Add(path, fmt.Sprintf("%s is out of range", num))
		} else {
			v.SetFloat(f)
		}
		return
	}
	if !ok {
		d.mismatch(path, "a whole number", n)
		return
	}
	i, err := num.Int64()
	if err != nil || v.OverflowInt(i) {
		d.faults.Add(path, fmt.Sprintf("%s is not a whole number or is out of range", num))
		return
	}
	v.SetInt(i)
}

func (d *decoder) list(path string, n node, v reflect.Value) {
	items, ok := n.value.([]node)
	if !ok {
		d.mismatch(path, "a list", n)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, it := range items {
		d.value(fmt.Sprintf("%s[%d]", path, i), it, v.Index(i))
	}
}

func (d *decoder) object(path string, n node, v reflect.Value) {
	members, ok := n.value.([]member)
	if !ok {
		d.mismatch(path, "an object", n)
		return
	}
	fields, names := fieldsOf(v.Type())
	for _, m := range members {
		at := Join(path, m.name)
		i, known := fields[m.name]
		switch {
		case !known:
			d.faults.Add(at, "unknown field; known here: "+strings.Join(names, ", "))
		case d.present[at]:
			d.faults.Add(at, "appears more than once")
		default:
			d.present[at] = true
			before := len(d.faults)
			d.value(at, m.node, v.Field(i))
			if len(d.faults) == before {
				d.checkLimits(at, v.Type().Field(i).Tag, reflect.Indirect(v.Field(i)))
			}
		}
	}
	d.checkRequired(path, v.Type())
}

func (d *decoder) checkRequired(path string, t reflect.Type) {
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		if at := Join(path, nameOf(tag)); tag.Get("required") == "true" && !d.present[at] {
			d.faults.Add(at, "required")
		}
	}
}

// checkLimits checks a decoded field against its tags enum and min.
func (d *decoder) checkLimits(path string, tag reflect.StructTag, v reflect.Value) {
	if enum := tag.Get("enum"); enum != "" && !slices.Contains(strings.Split(enum, ","), v.String()) {
		d.faults.Add(path, fmt.Sprintf("%q is not one of %s", v.String(), strings.ReplaceAll(enum, ",", ", ")))
	}
	minimum, err := strconv.ParseFloat(tag.Get("min"), 64)
	if err != nil {
		return
	}
	switch number := numberOf(v); {
	case number >= minimum:
	case v.Kind() == reflect.Slice:
		d.faults.Add(path, fmt.Sprintf("want at least %v entries, got %v", minimum, number))
	default:
		d.faults.Add(path, fmt.Sprintf("%v is less than %v", number, minimum))
	}
}

// numberOf returns the value of a number, or the length of a list.
func numberOf(v reflect.Value) float64 {
	switch {
	case v.CanFloat():
		return v.Float()
	case v.CanInt():
		return float64(v.Int())
	default:
		return float64(v.Len())
	}
}

// fieldsOf returns the index of each field by its JSON name, and the names in
// the order of declaration.
func fieldsOf(t reflect.Type) (map[string]int, []string) {
	fields, names := map[string]int{}, []string{}
	for i := range t.NumField() {
		name := nameOf(t.Field(i).Tag)
		if name == "" || name == "-" {
			continue
		}
		fields[name] = i
		names = append(names, name)
	}
	return fields, names
}

func nameOf(tag reflect.StructTag) string {
	name, _, _ := strings.Cut(tag.Get("json"), ",")
	return name
}
