package lovageconfig

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Document is a parsed TOML or JSON text with the position of each value. A path such as "resources[2].spec.name"
// identifies a value. The empty path identifies the whole document.
type Document struct {
	file       string
	root       any
	lineStarts []int          // byte offset of the start of each line
	offsets    map[string]int // byte offset, by path, of the key or the array element
}

// ParseTOML parses TOML 1.0 and reports only the first syntax error. The file name appears in findings only.
func ParseTOML(file string, data []byte) (*Document, []Finding) {
	doc := newDocument(file, data)
	var root map[string]any
	if err := toml.Unmarshal(data, &root); err != nil {
		fi := Finding{File: file, Problem: strings.TrimPrefix(err.Error(), "toml: ")}
		var de *toml.DecodeError
		if errors.As(err, &de) {
			fi.Line, fi.Column = de.Position()
			fi.Field = strings.Join(de.Key(), ".")
		}
		return nil, []Finding{fi}
	}
	if root == nil {
		root = map[string]any{}
	}
	doc.root = root
	doc.indexTOML(data)
	return doc, nil
}

func newDocument(file string, data []byte) *Document {
	doc := &Document{file: file, lineStarts: []int{0}, offsets: map[string]int{"": 0}}
	for i, c := range data {
		if c == '\n' {
			doc.lineStarts = append(doc.lineStarts, i+1)
		}
	}
	return doc
}

// indexTOML records the offsets of keys and array elements. The parser cannot fail, because toml.Unmarshal accepted the
// text.
func (doc *Document) indexTOML(data []byte) {
	var pa unstable.Parser
	pa.Reset(data)
	tableCounts := map[string]int{} // number of tables so far in each array of tables, by path
	tablePath := ""
	for pa.NextExpression() {
		ex := pa.Expression()
		switch ex.Kind {
		case unstable.Table, unstable.ArrayTable:
			tablePath = doc.indexHeader(ex, tableCounts)
		case unstable.KeyValue:
			doc.indexKeyValue(&pa, tablePath, ex)
		default: // comments
		}
	}
}

// indexHeader records a [table] or [[array of tables]] header and returns the path of the table that it opens.
func (doc *Document) indexHeader(ex *unstable.Node, tableCounts map[string]int) string {
	path := ""
	for it := ex.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		doc.recordOffset(path, int(it.Node().Raw.Offset))
		if ex.Kind == unstable.ArrayTable && it.IsLast() {
			tableCounts[path]++
		}
		if n := tableCounts[path]; n > 0 {
			path = indexPath(path, n-1)
			doc.recordOffset(path, int(it.Node().Raw.Offset))
		}
	}
	return path
}

func (doc *Document) indexKeyValue(pa *unstable.Parser, tablePath string, ex *unstable.Node) {
	path := tablePath
	for it := ex.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		doc.recordOffset(path, int(it.Node().Raw.Offset))
	}
	doc.indexValue(pa, path, ex.Value())
}

func (doc *Document) indexValue(pa *unstable.Parser, path string, va *unstable.Node) {
	switch va.Kind {
	case unstable.InlineTable:
		for it := va.Children(); it.Next(); {
			doc.indexKeyValue(pa, path, it.Node())
		}
	case unstable.Array:
		for i, it := 0, va.Children(); it.Next(); i++ {
			sub := indexPath(path, i)
			if raw := it.Node().Raw; raw.Length > 0 {
				doc.recordOffset(sub, int(raw.Offset))
			}
			doc.indexValue(pa, sub, it.Node())
		}
	default:
	}
}

// recordOffset records the offset of a path unless the path already has one.
func (doc *Document) recordOffset(path string, offset int) {
	if _, ok := doc.offsets[path]; !ok {
		doc.offsets[path] = offset
	}
}

// Finding returns a finding about path, positioned at the value or else at the nearest enclosing value.
func (doc *Document) Finding(path, format string, args ...any) Finding {
	fi := Finding{File: doc.file, Field: path, Problem: fmt.Sprintf(format, args...)}
	for at := path; ; at = parentPath(at) {
		if offset, ok := doc.offsets[at]; ok {
			line := sort.SearchInts(doc.lineStarts, offset+1)
			fi.Line, fi.Column = line, offset-doc.lineStarts[line-1]+1
			return fi
		}
	}
}

// Len returns the length of the array at path, or 0 if there is no array.
func (doc *Document) Len(path string) int {
	list, _ := doc.find(path).([]any)
	return len(list)
}

// Has reports whether the document has a value at path.
func (doc *Document) Has(path string) bool { return doc.find(path) != nil }

// find returns the value at path, or nil if there is none.
func (doc *Document) find(path string) any {
	value := doc.root
	for path != "" {
		var segment string
		segment, path = splitPath(path)
		if index, ok := strings.CutPrefix(segment, "["); ok {
			n, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
			list, isList := value.([]any)
			if err != nil || !isList || n < 0 || n >= len(list) {
				return nil
			}
			value = list[n]
			continue
		}
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[segment]
	}
	return value
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

func parentPath(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

// splitPath returns the first segment of a path, "key" or "[index]", and the rest.
func splitPath(path string) (segment, rest string) {
	if i := strings.IndexAny(path[1:], ".["); i >= 0 {
		segment, rest = path[:i+1], path[i+1:]
	} else {
		segment = path
	}
	return strings.TrimPrefix(segment, "."), rest
}
