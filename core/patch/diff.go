package patch

import "bytes"

const (
	// minCopySize is the minimum number of bytes for which an edit that copies
	// from another position is worth its own size.
	minCopySize = 48
	// maxCandidates is the maximum number of positions in the base at which a
	// repeated line is compared.
	maxCandidates = 16
)

// Make returns the patches that rebuild a document, given as its sections, for a
// receiver that has certain section versions. Find returns the text of a section
// by its digest, or nil.
func Make(secs []Section, have []SectionVersion, find func(digest uint64) []byte) []SectionPatch {
	byName := map[string]uint64{}
	for _, ver := range have {
		byName[ver.name] = ver.digest
	}
	patches := make([]SectionPatch, 0, len(secs))
	for _, sec := range secs {
		patches = append(patches, makeSectionPatch(sec, byName, find))
	}
	return patches
}

func makeSectionPatch(sec Section, byName map[string]uint64, find func(digest uint64) []byte) SectionPatch {
	digest, has := byName[sec.version.name]
	if has && digest == sec.version.digest {
		return SectionPatch{name: sec.version.name, base: digest}
	}
	if base := find(digest); has && base != nil {
		return SectionPatch{name: sec.version.name, base: digest, edits: diffLines(splitLines(base), splitLines(sec.text))}
	}
	return SectionPatch{name: sec.version.name, edits: []Edit{{text: sec.text}}}
}

func splitLines(text []byte) [][]byte {
	var lines [][]byte
	for at := 0; at < len(text); {
		end := lineEnd(text, at)
		lines = append(lines, text[at:end])
		at = end
	}
	return lines
}

// diffLines returns the edits that turn base into next. At each new line it
// copies the longest matching run of the base if that is worth an edit, and
// otherwise appends the line as text.
func diffLines(base, next [][]byte) []Edit {
	positions := map[string][]int{}
	for i, line := range base {
		if len(positions[string(line)]) < maxCandidates {
			positions[string(line)] = append(positions[string(line)], i)
		}
	}
	edits := []Edit{{}}
	nextBase := 0
	for at := 0; at < len(next); {
		from, num, size := longestRun(base, next[at:], nextBase, positions)
		if num == 0 || (size < minCopySize && from != nextBase) {
			last := &edits[len(edits)-1]
			last.text = append(last.text[:len(last.text):len(last.text)], next[at]...)
			at++
			continue
		}
		edits = append(edits, Edit{from: from, lines: num})
		at += num
		nextBase = from + num
	}
	if edits[0].lines == 0 && len(edits[0].text) == 0 && len(edits) > 1 {
		edits = edits[1:]
	}
	return edits
}

// longestRun returns the longest run of base lines that is a prefix of next: its
// first line, its number of lines and its size in bytes. The position after the
// last copy wins ties.
func longestRun(base, next [][]byte, nextBase int, positions map[string][]int) (from, num, size int) {
	from = nextBase
	num, size = runLength(base, next, nextBase)
	for _, at := range positions[string(next[0])] {
		if got, bts := runLength(base, next, at); bts > size {
			from, num, size = at, got, bts
		}
	}
	return from, num, size
}

func runLength(base, next [][]byte, at int) (num, size int) {
	for num < len(next) && at+num < len(base) && bytes.Equal(base[at+num], next[num]) {
		size += len(next[num])
		num++
	}
	return num, size
}

// Apply rebuilds a document from its patches. Find returns the text of a section
// by its digest, or nil. Apply returns an ApplyError if a base is missing, an
// edit is out of range or the document exceeds maxSize bytes.
func Apply(patches []SectionPatch, find func(digest uint64) []byte, maxSize int) ([]byte, error) {
	var doc []byte
	for _, pat := range patches {
		var err error
		if doc, err = pat.apply(doc, find, maxSize); err != nil {
			return nil, err
		}
	}
	return doc, nil
}

func (pat SectionPatch) apply(doc []byte, find func(digest uint64) []byte, maxSize int) ([]byte, error) {
	var base []byte
	if pat.base != 0 {
		if base = find(pat.base); base == nil {
			return nil, &ApplyError{section: pat.name, reason: "the base section is not stored"}
		}
	}
	if len(pat.edits) == 0 {
		doc = append(doc, base...)
		if len(doc) > maxSize {
			return nil, &ApplyError{section: pat.name, reason: "the document is too large"}
		}
		return doc, nil
	}
	lines := splitLines(base)
	for _, edt := range pat.edits {
		// The comparison avoids the sum of the two, which could overflow.
		if edt.from < 0 || edt.lines < 0 || edt.from > len(lines) || edt.lines > len(lines)-edt.from {
			return nil, &ApplyError{section: pat.name, reason: "an edit copies lines out of the range of the base"}
		}
		for _, line := range lines[edt.from : edt.from+edt.lines] {
			doc = append(doc, line...)
		}
		doc = append(doc, edt.text...)
		if len(doc) > maxSize {
			return nil, &ApplyError{section: pat.name, reason: "the document is too large"}
		}
	}
	return doc, nil
}
