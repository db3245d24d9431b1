package lovageconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault in an input, with its position if known.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`   // line number from 1; 0 if unknown
	Column  int    `json:"column,omitempty"` // in bytes, from 1; 0 if unknown
	Field   string `json:"field,omitempty"`  // path of the value, such as "resources[2].spec.workers[0].address"
	Problem string `json:"problem"`
}

// String returns "file:line:column: field: problem" without the parts that are unknown.
func (fi Finding) String() string {
	var bu strings.Builder
	if fi.File != "" {
		bu.WriteString(fi.File)
		bu.WriteByte(':')
	}
	if fi.Line > 0 {
		fmt.Fprintf(&bu, "%d:%d:", fi.Line, fi.Column)
	}
	if bu.Len() > 0 {
		bu.WriteByte(' ')
	}
	if fi.Field != "" {
		bu.WriteString(fi.Field)
		bu.WriteString(": ")
	}
	bu.WriteString(fi.Problem)
	return bu.String()
}

// SortFindings sorts findings by file, line, column and field.
func SortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field))
	})
}
