package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDepth bounds the recursion over nested values. The documents of this
// project nest five levels deep.
const maxDepth = 32

// node is a parsed JSON value. value holds a string, json.Number, bool or nil,
// a []node for an array, or a []member for an object.
type node struct{ value any }

type member struct {
	name string
	node node
}

// kind names the JSON type of a value for a message.
func (n node) kind() string {
	switch n.value.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	case []node:
		return "a list"
	default:
		return "an object"
	}
}

// parseTree reads exactly one JSON value.
func parseTree(data []byte) (node, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	n, err := parseValue(d, 0)
	if err != nil {
		return node{}, withPosition(data, d.InputOffset(), err)
	}
	if _, err := d.Token(); err != io.EOF {
		return node{}, withPosition(data, d.InputOffset(), errors.New("unexpected text after the document"))
	}
	return n, nil
}

func parseValue(d *json.Decoder, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	t, err := d.Token()
	if err != nil {
		return node{}, err
	}
	switch t {
	case json.Delim('['):
		return parseArray(d, depth)
	case json.Delim('{'):
		return parseObject(d, depth)
	}
	return node{t}, nil
}

func parseArray(d *json.Decoder, depth int) (node, error) {
	items := []node{}
	for d.More() {
		n, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		items = append(items, n)
	}
	_, err := d.Token()
	return node{items}, err
}

func parseObject(d *json.Decoder, depth int) (node, error) {
	members := []member{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return node{}, err
		}
		n, err := parseValue(d, depth+1)
		if err != nil {
			return node{}, err
		}
		members = append(members, member{key.(string), n})
	}
	_, err := d.Token()
	return node{members}, err
}

// withPosition adds the line and the column to a syntax error.
func withPosition(data []byte, offset int64, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		offset, err = int64(len(data)), errors.New("the document ends too early")
	}
	before := data[:min(int(offset), len(data))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Errorf("not valid JSON at line %d, column %d: %w", line, column, err)
}
