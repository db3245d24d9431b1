package lovageresource

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"lovagestack/lovageconfig"
	"lovagestack/lovagejob"
)

// Kind is the kind of a resource.
type Kind string

// Kinds of resources.
const (
	KindService       Kind = "Service"
	KindPool          Kind = "Pool"
	KindTeam          Kind = "Team"
	KindConfiguration Kind = "Configuration"
)

// Kinds returns all kinds, in the order in which lists show them.
func Kinds() []Kind { return []Kind{KindService, KindPool, KindTeam, KindConfiguration} }

// Valid reports whether the kind is one of the constants above.
func (ki Kind) Valid() bool { return slices.Contains(Kinds(), ki) }

// Spec is the desired state of a resource: a [Service], [Pool], [Team] or [Configuration]. A spec must not be modified
// once a Store holds it.
type Spec interface {
	// Kind returns the kind of resource that the spec belongs to.
	Kind() Kind
	// check calls report for each fault, with the path of the field within the spec.
	check(report func(field, format string, args ...any))
}

// Resource is an object that an operator declared.
type Resource struct {
	Kind     Kind
	Name     string
	Revision int64 // revision of the change that wrote the resource; in a declaration, the revision to replace, 0 to create
	Spec     Spec
	Status   Status // set by the instance that returns the resource; never stored
}

// Status is the observed state of a resource.
type Status struct {
	Conditions []Condition       `json:"conditions,omitempty"`
	Applied    []AppliedRevision `json:"applied,omitempty"` // one entry per known instance, sorted by ID
}

// Condition types.
const (
	// InForce: every instance that answered has applied the resource's revision.
	InForce = "inForce"
	// ReferencesExist: every service that the pool names is declared.
	ReferencesExist = "referencesExist"
	// WorkersUnique: no other pool declares a worker of this pool. The slots of such a worker are counted twice.
	WorkersUnique = "workersUnique"
)

// Condition is one aspect of a resource's observed state.
type Condition struct {
	Type   string          `json:"type"`
	Status ConditionStatus `json:"status"`
	Reason string          `json:"reason,omitempty"`
}

// ConditionStatus says whether a condition is met.
type ConditionStatus string

// Values of ConditionStatus.
const (
	ConditionTrue    ConditionStatus = "true"
	ConditionFalse   ConditionStatus = "false"
	ConditionUnknown ConditionStatus = "unknown"
)

// AppliedRevision says which revision one instance has applied.
type AppliedRevision struct {
	Instance string `json:"instance"`
	Revision int64  `json:"revision"` // last revision that the instance reported
	Answered bool   `json:"answered"` // whether the instance reported recently
}

// resourceJSON is a resource in JSON.
type resourceJSON struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision int64           `json:"revision,omitempty"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// MarshalJSON writes {kind, name, revision, spec, status}; it leaves out a revision or status that is not set.
func (re Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(re.Spec)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s %q", re.Kind, re.Name)
	}
	out := resourceJSON{Kind: re.Kind, Name: re.Name, Revision: re.Revision, Spec: spec}
	if len(re.Status.Conditions) > 0 || len(re.Status.Applied) > 0 {
		out.Status = &re.Status
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads a resource that another instance or the API wrote. Unlike [DecodeJSON] it ignores unknown fields,
// so that instances of different versions can read each other's resources.
func (re *Resource) UnmarshalJSON(data []byte) error {
	var in resourceJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode a resource")
	}
	specPtr, err := newSpec(in.Kind)
	if err != nil {
		return err
	}
	if len(in.Spec) > 0 {
		if err := json.Unmarshal(in.Spec, specPtr); err != nil {
			return errors.Wrapf(err, "decode %s %q", in.Kind, in.Name)
		}
	}
	*re = Resource{Kind: in.Kind, Name: in.Name, Revision: in.Revision, Spec: derefSpec(specPtr)}
	if in.Status != nil {
		re.Status = *in.Status
	}
	return nil
}

// newSpec returns a pointer to a spec of the kind with its default values.
func newSpec(kind Kind) (any, error) {
	switch kind {
	case KindService:
		sp := DefaultService()
		return &sp, nil
	case KindPool:
		return &Pool{}, nil
	case KindTeam:
		sp := DefaultTeam()
		return &sp, nil
	case KindConfiguration:
		sp := DefaultConfiguration()
		return &sp, nil
	}
	return nil, errors.Newf("%q is not a kind of resource; kinds are %q", kind, Kinds())
}

// derefSpec dereferences a pointer from newSpec.
func derefSpec(specPtr any) Spec {
	switch sp := specPtr.(type) {
	case *Service:
		return *sp
	case *Pool:
		return *sp
	case *Team:
		return *sp
	case *Configuration:
		return *sp
	}
	return nil
}

// SameDeclaration reports whether two resources have the same kind, name and spec.
func (re *Resource) SameDeclaration(other *Resource) bool {
	return re.Kind == other.Kind && re.Name == other.Name && reflect.DeepEqual(re.Spec, other.Spec)
}

// Validate returns a finding for every fault of the resource. The findings name the field, but no file.
func (re *Resource) Validate() []lovageconfig.Finding {
	var out []lovageconfig.Finding
	re.check(func(field, format string, args ...any) {
		out = append(out, lovageconfig.Finding{Field: field, Problem: fmt.Sprintf(format, args...)})
	})
	return out
}

func (re *Resource) check(report func(field, format string, args ...any)) {
	if !re.Kind.Valid() {
		report("kind", "%q is not a kind of resource; kinds are %q", re.Kind, Kinds())
		return
	}
	checkName(report, "name", re.Name)
	if re.Kind == KindConfiguration && re.Name != DefaultName {
		report("name", "%q would have no effect; instances read the configuration named %q only", re.Name, DefaultName)
	}
	if re.Revision < 0 {
		report("revision", "%d is negative", re.Revision)
	}
	if re.Spec == nil || re.Spec.Kind() != re.Kind {
		report("spec", "is missing")
		return
	}
	re.Spec.check(func(field, format string, args ...any) { report("spec."+field, format, args...) })
}

func checkName(report func(field, format string, args ...any), field, name string) {
	if !lovagejob.ValidName(name) {
		report(field, "%q is not a name of 1 to 48 lower-case letters, digits and inner hyphens", name)
	}
}
