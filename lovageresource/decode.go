package lovageresource

import (
	"fmt"
	"path/filepath"
	"strings"

	"lovagestack/lovageconfig"
)

// Decode reads a resource file, as JSON if its name ends in ".json" and as TOML otherwise.
func Decode(file string, data []byte) ([]Resource, []lovageconfig.Finding) {
	if strings.EqualFold(filepath.Ext(file), ".json") {
		return DecodeJSON(file, data)
	}
	return DecodeTOML(file, data)
}

// DecodeTOML reads resources declared as [[resources]] tables. If there are findings, no resource may be used.
func DecodeTOML(file string, data []byte) ([]Resource, []lovageconfig.Finding) {
	doc, findings := lovageconfig.ParseTOML(file, data)
	if len(findings) > 0 {
		return nil, findings
	}
	return decodeResources(doc)
}

// DecodeJSON reads an object {"resources": [...]} or a single resource. If there are findings, no resource may be
// used.
func DecodeJSON(file string, data []byte) ([]Resource, []lovageconfig.Finding) {
	doc, findings := lovageconfig.ParseJSON(file, data)
	if len(findings) > 0 {
		return nil, findings
	}
	if !doc.Has("resources") {
		re, findings := decodeResource(doc, "")
		return []Resource{re}, findings
	}
	return decodeResources(doc)
}

func decodeResources(doc *lovageconfig.Document) ([]Resource, []lovageconfig.Finding) {
	var document struct {
		Resources []any `json:"resources"`
		Revision  any   `json:"revision"` // ignored like Status; allowed so that the output of a list call can be applied
		Status    any   `json:"status"`
	}
	findings := doc.Decode(&document)
	if len(findings) == 0 && len(document.Resources) == 0 {
		findings = append(findings, doc.Finding("resources", "the file declares no resource"))
	}
	out := make([]Resource, 0, len(document.Resources))
	firstPaths := map[string]string{}
	for i := range document.Resources {
		path := fmt.Sprintf("resources[%d]", i)
		re, resourceFindings := decodeResource(doc, path)
		findings = append(findings, resourceFindings...)
		id := string(re.Kind) + "/" + re.Name
		if firstPath, ok := firstPaths[id]; ok {
			findings = append(findings, doc.Finding(path+".name", "%s %q is declared at %s too", re.Kind, re.Name, firstPath))
		}
		firstPaths[id] = path
		out = append(out, re)
	}
	lovageconfig.SortFindings(findings)
	return out, findings
}

// decodeResource reads the resource at the path, or the whole document if path is empty. It checks the values only of
// fields that could be decoded.
func decodeResource(doc *lovageconfig.Document, path string) (Resource, []lovageconfig.Finding) {
	var envelope struct {
		Kind     string `json:"kind"`
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Spec     any    `json:"spec"`
		Status   any    `json:"status"` // ignored; allowed so that the output of get can be applied
	}
	findings := doc.DecodeAt(path, &envelope)
	re := Resource{Kind: Kind(envelope.Kind), Name: envelope.Name, Revision: envelope.Revision}
	if specPtr, err := newSpec(re.Kind); err == nil && envelope.Spec != nil {
		findings = append(findings, doc.DecodeAt(joinPath(path, "spec"), specPtr)...)
		re.Spec = derefSpec(specPtr)
	}
	reported := map[string]bool{}
	for _, fi := range findings {
		reported[fi.Field] = true
	}
	re.check(func(field, format string, args ...any) {
		if fi := doc.Finding(joinPath(path, field), format, args...); !reported[fi.Field] {
			reported[fi.Field] = true
			findings = append(findings, fi)
		}
	})
	return re, findings
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
