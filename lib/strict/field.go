package strict

// Field describes the valid values of a field in a file format.
type Field struct {
	// Unit is the unit of a number, such as "milliseconds"; empty if it has none.
	Unit string
	// Min and Max are the bounds of a number, or of the length of a string in bytes; both zero for
	// no bound.
	Min, Max float64
	// Need is set if the field must be present.
	Need bool
	// Default is the value of an absent field; nil for the zero value.
	Default any
	// Ref is the name of the list whose entries the field refers to by name; empty if none.
	Ref string
	// Only lists the allowed strings; empty for any.
	Only []string
	// Text describes the purpose of the field in one line.
	Text string
}

// Table maps the path of each field, without list positions, to its Field: "upstreams.memory".
type Table map[string]Field
