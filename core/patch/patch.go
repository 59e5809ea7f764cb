// Package patch encodes a document as differences from the sections of an
// earlier one, and rebuilds it from them.
//
// A section is a top-level key of the document with its value. Each section has
// its own version, the digest of its text, so that a change of the active
// preset doesn't resend a thousand contracts. The package doesn't handle
// document revisions: after rebuilding a document the caller must compare its
// digest with the expected one.
package patch

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxSections is the maximum number of sections of one document. A document
// with more is treated as a single section.
const MaxSections = 64

// SectionVersion identifies a section by its name and digest.
type SectionVersion struct {
	name   string
	digest uint64
}

// NewSectionVersion returns a section version.
func NewSectionVersion(name string, digest uint64) SectionVersion {
	return SectionVersion{name: name, digest: digest}
}

// Name returns the section's key, or "" for the text before the first key.
func (ver SectionVersion) Name() string { return ver.name }

// Digest returns the digest of the section's text.
func (ver SectionVersion) Digest() uint64 { return ver.digest }

// Section is a part of a document. The concatenated sections of a document are
// the document.
type Section struct {
	version SectionVersion
	text    []byte
}

// Version returns the section's name and digest.
func (sec Section) Version() SectionVersion { return sec.version }

// Edit is one step in rebuilding a section: it copies lines of the base and then
// appends text.
type Edit struct {
	// from is the index of the first line of the base to copy, lines their
	// number.
	from  int
	lines int
	text  []byte
}

// NewEdit returns an edit that copies lines of the base and appends text.
func NewEdit(from, lines int, text []byte) Edit { return Edit{from: from, lines: lines, text: text} }

// From returns the index of the first line to copy.
func (edt Edit) From() int { return edt.from }

// Lines returns the number of lines to copy.
func (edt Edit) Lines() int { return edt.lines }

// Text returns the text to append.
func (edt Edit) Text() []byte { return edt.text }

// SectionPatch rebuilds one section.
type SectionPatch struct {
	name string
	// base is the digest of the section that the edits copy from; 0 if none.
	base  uint64
	edits []Edit
}

// NewSectionPatch returns the patch of a section. Without edits the section is
// equal to its base.
func NewSectionPatch(name string, base uint64, edits []Edit) SectionPatch {
	return SectionPatch{name: name, base: base, edits: edits}
}

// Name returns the section's key.
func (pat SectionPatch) Name() string { return pat.name }

// Base returns the digest of the section that the edits copy from; 0 if none.
func (pat SectionPatch) Base() uint64 { return pat.base }

// Edits returns the edits in order.
func (pat SectionPatch) Edits() []Edit { return pat.edits }

// Split splits a document into its sections.
func Split(doc []byte) []Section {
	var secs []Section
	name, start := "", 0
	for at := 0; at < len(doc); {
		end := lineEnd(doc, at)
		if key, is := keyOf(doc[at:end]); is && (at > start || name == "") {
			if at > start {
				secs = append(secs, newSection(name, doc[start:at]))
			}
			name, start = key, at
		}
		at = end
	}
	if start < len(doc) {
		secs = append(secs, newSection(name, doc[start:]))
	}
	if len(secs) > MaxSections {
		return []Section{newSection("", doc)}
	}
	return secs
}

func newSection(name string, text []byte) Section {
	return Section{version: SectionVersion{name: name, digest: xxhash.Sum64(text)}, text: text}
}

// lineEnd returns the end of the line that starts at a position, its newline
// included.
func lineEnd(doc []byte, at int) int {
	if idx := bytes.IndexByte(doc[at:], '\n'); idx >= 0 {
		return at + idx + 1
	}
	return len(doc)
}

// keyOf returns the top-level key at the start of a line. A wrong result only
// makes patches larger, since any split of a document is valid.
func keyOf(line []byte) (string, bool) {
	const longest = 64
	idx := bytes.IndexByte(line, ':')
	if idx <= 0 || idx > longest {
		return "", false
	}
	for _, chr := range line[:idx] {
		if (chr < 'a' || chr > 'z') && chr != '-' {
			return "", false
		}
	}
	return string(line[:idx]), line[0] != '-'
}

// SectionVersions returns the versions of sections.
func SectionVersions(secs []Section) []SectionVersion {
	vers := make([]SectionVersion, 0, len(secs))
	for _, sec := range secs {
		vers = append(vers, sec.version)
	}
	return vers
}

// ApplyError reports a section that can't be rebuilt.
type ApplyError struct {
	section string
	reason  string
}

// Error returns the section and the reason.
func (err *ApplyError) Error() string { return fmt.Sprintf("section %q: %s", err.section, err.reason) }
