package strict

// Field describes the valid values of a field in a file format.
type Field struct {
	// Unit is the unit of a number, such as "milliseconds"; empty if it has none.
	Unit string
	// Min and Max are the bounds of a number, or of the length of a string in bytes; both zero for
	// no bound.
	Min, Max float64
	// Required is set if the field must be present.
	Required bool
	// Default is the value of an absent field; nil for the zero value.
	Default any
	// RefersTo is the name of the list whose entries the field refers to by name; empty if none.
	RefersTo string
	// Enum lists the allowed strings; empty if any string is allowed.
	Enum []string
	// Description describes the purpose of the field in one line.
	Description string
}

// Table maps the path of each field, without list positions, to its Field: "upstreams.memory".
type Table map[string]Field
