package questionnaire

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Schema returns the JSON Schema (draft 2020-12) of both forms, indented.
func Schema() ([]byte, error) {
	return json.MarshalIndent(map[string]any{
		"$schema": "https://json-schema.org/draft/2020-12/schema",
		"title":   "primrosereach questionnaire",
		"oneOf":   []any{schemaOf(reflect.TypeFor[teamForm]()), schemaOf(reflect.TypeFor[siteForm]())},
	}, "", "  ")
}

// schemaOf describes a Go type of the forms.
func schemaOf(t reflect.Type) map[string]any {
	switch t {
	case reflect.TypeFor[period]():
		return map[string]any{"type": "string", "pattern": periodPattern}
	case reflect.TypeFor[wait]():
		return map[string]any{"type": "string", "pattern": "^no$|" + periodPattern}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem())
	case reflect.Struct:
		return schemaOfStruct(t)
	case reflect.Slice:
		return map[string]any{"type": "array", "items": schemaOf(t.Elem())}
	case reflect.Bool:
		return map[string]any{"type": "boolean"}
	case reflect.Int:
		return map[string]any{"type": "integer"}
	case reflect.Float64:
		return map[string]any{"type": "number"}
	default:
		return map[string]any{"type": "string"}
	}
}

func schemaOfStruct(t reflect.Type) map[string]any {
	properties, required := map[string]any{}, []string{}
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name := tag.Get("json")
		property := schemaOf(t.Field(i).Type)
		property["description"] = tag.Get("doc")
		addConstraints(property, tag)
		properties[name] = property
		if tag.Get("required") == "true" {
			required = append(required, name)
		}
	}
	return map[string]any{"type": "object", "properties": properties, "required": required, "additionalProperties": false}
}

// addConstraints adds the constraints of the tags enum, pattern and min.
func addConstraints(property map[string]any, tag reflect.StructTag) {
	if enum := tag.Get("enum"); enum != "" {
		property["enum"] = strings.Split(enum, ",")
	}
	if tag.Get("pattern") == "name" {
		property["pattern"] = namePattern
	}
	minimum, err := strconv.ParseFloat(tag.Get("min"), 64)
	switch {
	case err != nil:
	case property["type"] == "array":
		property["minItems"] = minimum
	default:
		property["minimum"] = minimum
	}
}
