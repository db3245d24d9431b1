package lovageconfig

import (
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes the whole document into target, a pointer to a struct, and returns all findings. Keys match the toml
// or json tags of fields. A key without a field is a finding. A field without a key keeps its value.
func (doc *Document) Decode(target any) []Finding { return doc.DecodeAt("", target) }

// DecodeAt is like Decode for the value at path. Without a value at path, target does not change.
func (doc *Document) DecodeAt(path string, target any) []Finding {
	de := decoder{doc: doc}
	de.set(path, doc.find(path), reflect.ValueOf(target).Elem())
	SortFindings(de.findings)
	return de.findings
}

type decoder struct {
	doc      *Document
	findings []Finding
}

func (de *decoder) addFinding(path, format string, args ...any) {
	de.findings = append(de.findings, de.doc.Finding(path, format, args...))
}

// set decodes value into target or adds findings.
func (de *decoder) set(path string, value any, target reflect.Value) {
	if value == nil {
		return // JSON null means absent
	}
	switch typed := target.Addr().Interface().(type) {
	case *json.RawMessage, *any:
		if target.Kind() == reflect.Interface {
			target.Set(reflect.ValueOf(value))
		}
		return
	case *time.Duration:
		if text, ok := de.text(path, value, `a duration such as "250ms"`); ok {
			parsed, err := time.ParseDuration(text)
			if err != nil {
				de.addFinding(path, "%.100q is not a duration such as \"250ms\"", text)
				return
			}
			*typed = parsed
		}
		return
	case *time.Time:
		if parsed, ok := value.(time.Time); ok {
			*typed = parsed
			return
		}
		if text, ok := de.text(path, value, "a time in the form of RFC 3339"); ok {
			if err := typed.UnmarshalText([]byte(text)); err != nil {
				de.addFinding(path, "%.100q is not a time in the form of RFC 3339", text)
			}
		}
		return
	case encoding.TextUnmarshaler:
		if text, ok := de.text(path, value, "a string"); ok {
			if err := typed.UnmarshalText([]byte(text)); err != nil {
				de.addFinding(path, "%s", err)
			}
		}
		return
	}
	de.setKind(path, value, target)
}

// text returns value if it is a string. Otherwise it adds a finding that names wantedForm.
func (de *decoder) text(path string, value any, wantedForm string) (string, bool) {
	text, ok := value.(string)
	if !ok {
		de.addFinding(path, "%s is not %s", describeValue(value), wantedForm)
	}
	return text, ok
}

func (de *decoder) setKind(path string, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		de.setStruct(path, value, target)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			de.addFinding(path, "%s is not an array", describeValue(value))
			return
		}
		out := reflect.MakeSlice(target.Type(), len(list), len(list))
		for i := range list {
			de.set(indexPath(path, i), list[i], out.Index(i))
		}
		target.Set(out)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		de.set(path, value, target.Elem())
	case reflect.String:
		if text, ok := de.text(path, value, "a string"); ok {
			target.SetString(text)
		}
	case reflect.Bool:
		flag, ok := value.(bool)
		if !ok {
			de.addFinding(path, "%s is not true or false", describeValue(value))
		}
		target.SetBool(flag)
	case reflect.Int, reflect.Int32, reflect.Int64:
		de.setInt(path, value, target)
	case reflect.Float64:
		de.setFloat(path, value, target)
	default:
		panic(fmt.Sprintf("lovageconfig: field %s has the unsupported type %s", path, target.Type()))
	}
}

func (de *decoder) setInt(path string, value any, target reflect.Value) {
	var integer int64
	switch va := value.(type) {
	case int64:
		integer = va
	case json.Number:
		parsed, err := va.Int64()
		if err != nil {
			de.addFinding(path, "%.100s is not a whole number of 64 bits", va)
			return
		}
		integer = parsed
	default:
		de.addFinding(path, "%s is not a whole number", describeValue(value))
		return
	}
	if target.OverflowInt(integer) {
		de.addFinding(path, "%d is out of range", integer)
		return
	}
	target.SetInt(integer)
}

func (de *decoder) setFloat(path string, value any, target reflect.Value) {
	var number float64
	switch va := value.(type) {
	case int64:
		number = float64(va)
	case float64:
		number = va
	case json.Number:
		number, _ = va.Float64()
	default:
		de.addFinding(path, "%s is not a number", describeValue(value))
		return
	}
	if math.IsNaN(number) || math.IsInf(number, 0) {
		de.addFinding(path, "%s is not a finite number", describeValue(value))
		return
	}
	target.SetFloat(number)
}

func (de *decoder) setStruct(path string, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		de.addFinding(path, "%s is not a table", describeValue(value))
		return
	}
	names := make([]string, 0, target.NumField())
	for i := range target.NumField() {
		name := fieldName(target.Type().Field(i))
		if name == "" {
			continue
		}
		names = append(names, name)
		if va, ok := table[name]; ok {
			de.set(joinPath(path, name), va, target.Field(i))
		}
	}
	for key := range table {
		if !slices.Contains(names, key) {
			de.addFinding(joinPath(path, key), "is not known here; known are %s", strings.Join(names, ", "))
		}
	}
}

// fieldName returns the name in the field's toml tag, or else in its json tag. It returns "" for no name and for "-".
func fieldName(field reflect.StructField) string {
	tag, ok := field.Tag.Lookup("toml")
	if !ok {
		tag = field.Tag.Get("json")
	}
	name, _, _ := strings.Cut(tag, ",")
	if name == "-" {
		return ""
	}
	return name
}

// describeValue describes a decoded value by its type and, except for tables and arrays, its value.
func describeValue(value any) string {
	switch va := value.(type) {
	case string:
		return fmt.Sprintf("the string %.100q", va)
	case json.Number:
		return fmt.Sprintf("the number %.100s", va.String())
	case int64, float64:
		return fmt.Sprintf("the number %v", va)
	case bool:
		return fmt.Sprintf("the value %t", va)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	case time.Time, toml.LocalDate, toml.LocalTime, toml.LocalDateTime:
		return fmt.Sprintf("the time %v", va)
	}
	return fmt.Sprintf("%v", value)
}
