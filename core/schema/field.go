package schema

// Field describes one key of a document for the reference pages.
type Field struct {
	path         string
	kind         string
	defaultValue string
	allowed      string
	doc          string
}

// Path returns the key path. A key of a list is followed by "[]".
func (fie Field) Path() string { return fie.path }

// Kind returns the name of the type, such as "duration".
func (fie Field) Kind() string { return fie.kind }

// Default returns the default, or "required".
func (fie Field) Default() string { return fie.defaultValue }

// Allowed returns a description of the allowed values.
func (fie Field) Allowed() string { return fie.allowed }

// Doc returns the one-line documentation of the field.
func (fie Field) Doc() string { return fie.doc }

// tag returns the YAML tag for printing a numeric value. Values with a unit are
// strings.
func (fie Field) tag() string {
	switch fie.kind {
	case "integer":
		return "!!int"
	case "number":
		return "!!float"
	}
	return "!!str"
}
