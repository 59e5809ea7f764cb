package schema

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a document: its position, the value found
// and the values allowed.
type Fault struct {
	file  string
	line  int
	path  string
	found string
	want  string
}

// NewFault returns a fault at a line of a file. Line 0 means that the fault has
// no single position.
func NewFault(file string, line int, path, found, want string) Fault {
	return Fault{file: file, line: line, path: path, found: found, want: want}
}

// Path returns the key path, such as "pipelines[2].stages[0].pool".
func (fau Fault) Path() string { return fau.path }

// Line returns the line, counted from 1, or 0 if there is none.
func (fau Fault) Line() int { return fau.line }

// Found returns a description of the value found, truncated.
func (fau Fault) Found() string { return fau.found }

// Want returns a description of the allowed values.
func (fau Fault) Want() string { return fau.want }

// Error returns position, path, found value and allowed values in one line.
func (fau Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: found %s, want %s", fau.file, fau.line, fau.path, fau.found, fau.want)
}

// Faults holds all faults of one document, sorted by line. It is an error only
// if it is not empty; Err returns a nil error otherwise.
type Faults []Fault

// Error returns the faults, one per line.
func (fas Faults) Error() string {
	lines := make([]string, len(fas))
	for i, fau := range fas {
		lines[i] = fau.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fas Faults) Err() error {
	if len(fas) == 0 {
		return nil
	}
	return fas
}

var _ error = Faults(nil)
