package strict

// Field tells what is expected of one field of a format.
type Field struct {
	// Unit is what a number counts, such as "milliseconds"; empty for a bare number.
	Unit string
	// Min and Max bound a number, or the length of a string or list; both zero for no bound.
	Min, Max float64
	// Required is set when the field may not be left out.
	Required bool
	// Default is what a field that was left out reads as; nil for the zero value.
	Default any
	// RefersTo is the table whose entries' names the field refers to; empty if none.
	RefersTo string
	// Enum lists the strings that are allowed; empty for any.
	Enum []string
	// Description is one line that says what the field is for.
	Description string
}

// Table gives the Field of each path, without list positions: "upstreams.memory".
type Table map[string]Field
