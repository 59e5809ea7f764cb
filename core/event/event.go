// Package event finds the events in a stream of server-sent events
// (text/event-stream), as its bytes arrive.
package event

import "bytes"

// maxIDLen is the longest event ID that is kept, in bytes.
const maxIDLen = 256

// Scanner scans one stream. The zero value is ready to use.
type Scanner struct {
	// line has the start of the current line, as far as an ID can reach; size is
	// the line's length so far, in bytes.
	line []byte
	size int
	// open is set if the current event has a line, other than a comment.
	open bool
	// returned is set if the last byte was a carriage return: a line feed that
	// follows belongs to the same line end.
	returned bool
	// id is the current event's ID, if it has one.
	id    string
	hasID bool
	// lastID is the ID of the last complete event that has one.
	lastID string
	count  int
	// unnumbered is set if the last complete event has no ID.
	unnumbered bool
}

// Scan scans the next bytes of the stream and returns how many of them, from the
// start, belong to complete events and comments.
func (scn *Scanner) Scan(got []byte) int {
	end := 0
	for at := 0; at < len(got); {
		if scn.returned && got[at] == '\n' {
			scn.returned = false
			at++
			if scn.Between() {
				end = at
			}
			continue
		}
		scn.returned = false
		num := bytes.IndexAny(got[at:], "\r\n")
		if num < 0 {
			scn.extendLine(got[at:])
			break
		}
		scn.extendLine(got[at : at+num])
		at += num + 1
		scn.returned = got[at-1] == '\r'
		scn.endLine()
		if scn.Between() {
			end = at
		}
	}
	return end
}

func (scn *Scanner) extendLine(part []byte) {
	scn.size += len(part)
	left := len("id: ") + maxIDLen - len(scn.line)
	scn.line = append(scn.line, part[:min(max(0, left), len(part))]...)
}

func (scn *Scanner) endLine() {
	line, size := scn.line, scn.size
	scn.line, scn.size = scn.line[:0], 0
	switch {
	case size == 0:
		scn.endEvent()
		return
	case line[0] == ':':
		return
	}
	scn.open = true
	if val, ok := bytes.CutPrefix(line, []byte("id:")); ok && size == len(line) {
		scn.id, scn.hasID = string(bytes.TrimPrefix(val, []byte(" "))), true
	}
}

func (scn *Scanner) endEvent() {
	if !scn.open {
		return
	}
	scn.count++
	scn.unnumbered = scn.id == ""
	if scn.hasID {
		scn.lastID = scn.id
	}
	scn.open, scn.id, scn.hasID = false, "", false
}

// Between reports whether the bytes so far end between two events, and not inside
// one.
func (scn *Scanner) Between() bool { return !scn.open && scn.size == 0 }

// LastID returns the ID of the last complete event that has one; empty before it.
func (scn *Scanner) LastID() string { return scn.lastID }

// Resumable reports whether LastID names the last complete event, so that the stream
// can go on after it.
func (scn *Scanner) Resumable() bool { return !scn.unnumbered }

// Count returns the number of complete events.
func (scn *Scanner) Count() int { return scn.count }

// Restart drops an incomplete event. The next bytes are those of another stream
// that goes on after the last complete one.
func (scn *Scanner) Restart() {
	*scn = Scanner{line: scn.line[:0], lastID: scn.lastID, count: scn.count, unnumbered: scn.unnumbered}
}
