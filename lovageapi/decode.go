package lovageapi

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageconfig"
)

// decode sets target, a pointer to a struct, from JSON and returns all faults. A text without faults is decoded by
// encoding/json; only for a faulty one the slower decoder of lovageconfig finds every fault and its place.
func decode(data []byte, target any) []lovageconfig.Finding {
	err := strictUnmarshal(data, target)
	if err == nil && exactKeys(data, fieldNames(reflect.TypeOf(target).Elem())) {
		return nil
	}
	doc, findings := lovageconfig.ParseJSON("", data)
	if doc != nil {
		findings = append(findings, doc.Decode(reflect.New(reflect.TypeOf(target).Elem()).Interface())...)
	}
	findings = slices.DeleteFunc(findings, func(fi lovageconfig.Finding) bool {
		return strings.Contains(fi.Field, "].payload.") || strings.Contains(fi.Field, "].payload[") // not ours to judge
	})
	if len(findings) == 0 && err != nil {
		findings = []lovageconfig.Finding{{Problem: err.Error()}}
	}
	lovageconfig.SortFindings(findings)
	return findings
}

// strictUnmarshal decodes exactly one JSON value without unknown fields.
func strictUnmarshal(data []byte, target any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more text after the end of the JSON value")
	}
	return nil
}

// nameCache holds the result of fieldNames by type.
var nameCache sync.Map

// fieldNames returns the JSON names in a struct, and in structs that it holds lists of.
func fieldNames(ty reflect.Type) []string {
	if names, ok := nameCache.Load(ty); ok {
		return names.([]string)
	}
	var out []string
	for field := range ty.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		out = append(out, name)
		if field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct {
			out = append(out, fieldNames(field.Type.Elem())...)
		}
	}
	nameCache.Store(ty, out)
	return out
}

// exactKeys reports whether the keys of the outer object, and of the objects in its lists, are spelled as the names
// and occur once. encoding/json accepts other case and drops all but one of equal keys. The text must be valid JSON.
func exactKeys(data []byte, names []string) bool {
	depth := 0
	var seen [4][]string // keys of the open object at each depth; a task of a job is at depth 3
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{', '[':
			if depth++; depth < len(seen) {
				seen[depth] = seen[depth][:0]
			}
		case '}', ']':
			depth--
		case '"':
			first := i + 1
			for i++; data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
			if (depth != 1 && depth != 3) || !isKey(data[i+1:]) {
				continue
			}
			at := slices.Index(names, string(data[first:i]))
			if at < 0 || slices.Contains(seen[depth], names[at]) {
				return false
			}
			seen[depth] = append(seen[depth], names[at])
		}
	}
	return true
}

// isKey reports whether the text after a string makes it the key of an object.
func isKey(rest []byte) bool {
	for _, c := range rest {
		switch c {
		case ' ', '\t', '\r', '\n':
		default:
			return c == ':'
		}
	}
	return false
}
