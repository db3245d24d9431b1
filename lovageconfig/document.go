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

// Document is a parsed TOML or JSON text that remembers where each value stands. A path such as
// "resources[2].spec.name" names a value; the empty path names the whole document.
type Document struct {
	file   string
	root   any
	starts []int          // byte offset of the start of each line
	places map[string]int // byte offset of each path's key or, in arrays, value
}

// ParseTOML parses TOML 1.0. Only syntax faults are reported here; the file name is used in findings only.
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
	doc := &Document{file: file, starts: []int{0}, places: map[string]int{"": 0}}
	for i, c := range data {
		if c == '\n' {
			doc.starts = append(doc.starts, i+1)
		}
	}
	return doc
}

// indexTOML records the place of every key. The text has been accepted by toml.Unmarshal, so errors cannot occur.
func (doc *Document) indexTOML(data []byte) {
	var pa unstable.Parser
	pa.Reset(data)
	tables := map[string]int{} // number of elements of each array of tables
	prefix := ""
	for pa.NextExpression() {
		ex := pa.Expression()
		switch ex.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = doc.indexHeader(ex, tables)
		case unstable.KeyValue:
			doc.indexKeyValue(&pa, prefix, ex)
		default: // comments
		}
	}
}

// indexHeader records a [table] or [[array of tables]] header and returns the path of the table it opens.
func (doc *Document) indexHeader(ex *unstable.Node, tables map[string]int) string {
	path := ""
	for it := ex.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		doc.place(path, int(it.Node().Raw.Offset))
		if ex.Kind == unstable.ArrayTable && it.IsLast() {
			tables[path]++
		}
		if n := tables[path]; n > 0 {
			path = indexPath(path, n-1)
			doc.place(path, int(it.Node().Raw.Offset))
		}
	}
	return path
}

func (doc *Document) indexKeyValue(pa *unstable.Parser, prefix string, ex *unstable.Node) {
	path := prefix
	for it := ex.Key(); it.Next(); {
		path = joinPath(path, string(it.Node().Data))
		doc.place(path, int(it.Node().Raw.Offset))
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
				doc.place(sub, int(raw.Offset))
			}
			doc.indexValue(pa, sub, it.Node())
		}
	default:
	}
}

// place records an offset for a path; the first one counts.
func (doc *Document) place(path string, offset int) {
	if _, ok := doc.places[path]; !ok {
		doc.places[path] = offset
	}
}

// Finding returns a finding about the value at the path. If the value does not exist, the place is that of the
// nearest enclosing value.
func (doc *Document) Finding(path, format string, args ...any) Finding {
	fi := Finding{File: doc.file, Field: path, Problem: fmt.Sprintf(format, args...)}
	for at := path; ; at = parentPath(at) {
		if offset, ok := doc.places[at]; ok {
			line := sort.SearchInts(doc.starts, offset+1)
			fi.Line, fi.Column = line, offset-doc.starts[line-1]+1
			return fi
		}
	}
}

// Len returns the number of elements of the array at the path, 0 if there is no array.
func (doc *Document) Len(path string) int {
	list, _ := doc.find(path).([]any)
	return len(list)
}

// Has reports whether the document has a value at the path.
func (doc *Document) Has(path string) bool { return doc.find(path) != nil }

// find returns the value at the path, nil if there is none.
func (doc *Document) find(path string) any {
	value := doc.root
	for path != "" {
		var step string
		step, path = splitPath(path)
		if index, ok := strings.CutPrefix(step, "["); ok {
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
		value = table[step]
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

// splitPath returns the first step of a path, "key" or "[index]", and the rest.
func splitPath(path string) (step, rest string) {
	if i := strings.IndexAny(path[1:], ".["); i >= 0 {
		step, rest = path[:i+1], path[i+1:]
	} else {
		step = path
	}
	return strings.TrimPrefix(step, "."), rest
}
