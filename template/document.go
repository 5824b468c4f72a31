package template

import (
	"fmt"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Limits and defaults of the values in a template.
const (
	DefaultExtraAttempts = 3
	MaxExtraAttempts     = 16               // with a larger budget, retries could outnumber first attempts
	MaxTimeout           = 60 * time.Second // longest deadline of a request, see the tombstone time in section 3 of the design
	MaxRatePerSecond     = 1_000_000
	maxOperations        = 512
)

// Operation is an operation that a template permits, with its policy before customer parameters.
type Operation struct {
	Service       request.ServiceID
	Name          request.Operation
	Timeout       time.Duration
	ExtraAttempts uint8
	Class         request.Class
	Idempotent    bool
}

// Parameter identifies a parameter that a template declares and a customer sets.
type Parameter uint8

// The parameters. Each template must declare ParamRatePerSecond; the others are optional upper limits on the timeout and the
// extra attempts of its operations.
const (
	ParamRatePerSecond Parameter = iota
	ParamMaxTimeout
	ParamMaxExtraAttempts
	parameterCount
)

var parameterNames = [parameterCount]string{"rate_per_second", "max_timeout_ms", "max_extra_attempts"}

// parameterRanges holds the largest range that a template may declare for each parameter.
var parameterRanges = [parameterCount]ParameterRange{
	ParamRatePerSecond:    {Min: 1, Max: MaxRatePerSecond},
	ParamMaxTimeout:       {Min: 1, Max: MaxTimeout.Milliseconds()},
	ParamMaxExtraAttempts: {Min: 0, Max: MaxExtraAttempts},
}

// String returns the name of the parameter in documents, or "invalid".
func (p Parameter) String() string {
	if p < parameterCount {
		return parameterNames[p]
	}
	return "invalid"
}

func parseParameter(name string) (Parameter, bool) {
	for i, known := range parameterNames {
		if name == known {
			return Parameter(i), true
		}
	}
	return 0, false
}

// ParameterRange is the declaration of a parameter: its default value and its inclusive bounds.
type ParameterRange struct {
	Declared          bool
	Default, Min, Max int64
}

func (r ParameterRange) clamp(n int64) int64 { return min(max(n, r.Min), r.Max) }

type operationKey struct {
	service request.ServiceID
	name    request.Operation
}

// Template is a parsed template document; it is immutable.
type Template struct {
	Operations []Operation
	Parameters [parameterCount]ParameterRange

	index map[operationKey]uint16 // position in Operations
}

// Customer is a parsed customer document.
type Customer struct {
	Template string
	Values   [parameterCount]ParameterValue
}

// ParameterValue is an optional parameter value of a customer.
type ParameterValue struct {
	Set   bool
	Value int64
}

// ParseTemplate parses a template document; the error is *ValidationError and holds up to 100 problems.
func ParseTemplate(document []byte) (*Template, error) {
	var r report
	v, err := parse(document)
	if err != nil {
		r.add("", err.Error(), "correct the document")
		return nil, r.asError()
	}
	t := &Template{}
	if r.checkObject(&v, "", "operations", "parameters") {
		t.readOperations(&r, &v)
		t.readParameters(&r, &v)
	}
	if err := r.asError(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Template) readOperations(r *report, v *value) {
	items := r.array(v, "", "operations", maxOperations)
	if f := v.get("operations"); f != nil && f.kind == arrayKind && len(f.items) == 0 {
		r.add("operations", "is empty", "list at least one operation")
	}
	t.Operations = make([]Operation, 0, len(items))
	t.index = make(map[operationKey]uint16, len(items))
	for i := range items {
		path := fmt.Sprintf("operations[%d]", i)
		o := readOperation(r, &items[i], path)
		key := operationKey{service: o.Service, name: o.Name}
		if _, duplicate := t.index[key]; duplicate && o.Service != "" && o.Name != "" {
			r.add(path, fmt.Sprintf("operation %q of service %q is listed twice", o.Name, o.Service), "keep one of the entries")
		}
		t.index[key] = uint16(len(t.Operations))
		t.Operations = append(t.Operations, o)
	}
}

func readOperation(r *report, v *value, path string) Operation {
	if !r.checkObject(v, path, "service", "operation", "class", "idempotent", "timeout_ms", "extra_attempts") {
		return Operation{}
	}
	o := Operation{
		Service:       request.ServiceID(r.name(v, path, "service")),
		Name:          request.Operation(r.name(v, path, "operation")),
		Class:         readClass(r, v, path),
		Idempotent:    r.boolean(v, path, "idempotent", "write false unless running the operation twice has the effect of running it once"),
		ExtraAttempts: DefaultExtraAttempts,
	}
	if n, ok := r.integer(v.get("timeout_ms"), fieldPath(path, "timeout_ms"), 1, MaxTimeout.Milliseconds()); ok {
		o.Timeout = time.Duration(n) * time.Millisecond
	}
	if f := v.get("extra_attempts"); f != nil {
		n, _ := r.integer(f, fieldPath(path, "extra_attempts"), 0, MaxExtraAttempts)
		o.ExtraAttempts = uint8(n)
	}
	return o
}

func readClass(r *report, v *value, path string) request.Class {
	const remedy = "use essential, standard or bulk"
	f := v.get("class")
	switch {
	case f == nil:
		r.add(fieldPath(path, "class"), "is missing", remedy)
	case f.kind != stringKind:
		r.add(fieldPath(path, "class"), "is "+kindNames[f.kind], remedy)
	default:
		class, err := request.ParseClass(f.text)
		if err != nil {
			r.add(fieldPath(path, "class"), fmt.Sprintf("%q is not a class", truncate(f.text)), remedy)
		}
		return class
	}
	return request.Bulk
}

func (t *Template) readParameters(r *report, v *value) {
	items := r.array(v, "", "parameters", int(parameterCount))
	for i := range items {
		path := fmt.Sprintf("parameters[%d]", i)
		t.readParameter(r, &items[i], path)
	}
	if !t.Parameters[ParamRatePerSecond].Declared {
		r.add("parameters", "rate_per_second is not declared", "declare it with a default and a range")
	}
}

func (t *Template) readParameter(r *report, v *value, path string) {
	if !r.checkObject(v, path, "name", "default", "min", "max") {
		return
	}
	name := r.name(v, path, "name")
	p, known := parseParameter(name)
	if !known {
		if name != "" {
			r.add(fieldPath(path, "name"), fmt.Sprintf("parameter %q does not exist", name), knownParameters())
		}
		return
	}
	if t.Parameters[p].Declared {
		r.add(path, fmt.Sprintf("parameter %q is declared twice", name), "keep one of the entries")
	}
	allowed := parameterRanges[p]
	declared := ParameterRange{Declared: true}
	var minOK, maxOK bool
	declared.Min, minOK = r.integer(v.get("min"), fieldPath(path, "min"), allowed.Min, allowed.Max)
	declared.Max, maxOK = r.integer(v.get("max"), fieldPath(path, "max"), allowed.Min, allowed.Max)
	if minOK && maxOK && declared.Min > declared.Max {
		r.add(fieldPath(path, "min"), fmt.Sprintf("%d is above max %d", declared.Min, declared.Max), "lower min or raise max")
		minOK = false
	}
	if minOK && maxOK {
		allowed = declared
	}
	declared.Default, _ = r.integer(v.get("default"), fieldPath(path, "default"), allowed.Min, allowed.Max)
	t.Parameters[p] = declared
}

// ParseCustomer parses a customer document; the error is *ValidationError and holds up to 100 problems.
// It does not compare the values with the ranges of the template; Template.Validate does.
func ParseCustomer(document []byte) (Customer, error) {
	var r report
	v, err := parse(document)
	if err != nil {
		r.add("", err.Error(), "correct the document")
		return Customer{}, r.asError()
	}
	var c Customer
	if r.checkObject(&v, "", "template", "parameters") {
		c.Template = r.name(&v, "", "template")
		c.readValues(&r, v.get("parameters"))
	}
	if err := r.asError(); err != nil {
		return Customer{}, err
	}
	return c, nil
}

func (c *Customer) readValues(r *report, v *value) {
	if v == nil {
		return
	}
	if !r.checkObject(v, "parameters", parameterNames[:]...) {
		return
	}
	for i, f := range v.fields {
		p, known := parseParameter(f.name)
		if !known {
			continue
		}
		allowed := parameterRanges[p]
		if n, ok := r.integer(&v.fields[i].value, fieldPath("parameters", f.name), allowed.Min, allowed.Max); ok {
			c.Values[p] = ParameterValue{Set: true, Value: n}
		}
	}
}

// Validate checks the values of the customer against the ranges of the template; the error is *ValidationError and names each
// value that the template does not permit.
func (t *Template) Validate(c *Customer) error {
	var r report
	for i, s := range c.Values {
		p, declared := Parameter(i), t.Parameters[i]
		path := fieldPath("parameters", p.String())
		switch {
		case !s.Set:
		case !declared.Declared:
			r.add(path, fmt.Sprintf("template %q does not declare it", c.Template), "remove it or declare it in the template")
		case s.Value != declared.clamp(s.Value):
			r.add(path, fmt.Sprintf("is %d", s.Value), fmt.Sprintf("write a whole number from %d to %d", declared.Min, declared.Max))
		}
	}
	return r.asError()
}

func knownParameters() string {
	return fmt.Sprintf("use %s, %s or %s", parameterNames[0], parameterNames[1], parameterNames[2])
}
