// Package frame detects requests that have both a Content-Length and a
// Transfer-Encoding field, checks the heads of responses more strictly than
// net/http, and reads bodies with limits.
//
// A load balancer that uses one field and a server that uses the other disagree
// on where the request ends, so a caller can hide a second request in what the
// balancer takes for the first one's body (request smuggling). RFC 9112, section
// 6.1 allows a server to use the Transfer-Encoding alone if it closes the
// connection after the answer, so that no later bytes are parsed as a request.
// Go's HTTP server removes Content-Length silently and keeps the connection open.
package frame

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Names of the two header fields in lower case.
const (
	fieldLength = "content-length"
	fieldCoding = "transfer-encoding"
)

// maxPrefix is the number of bytes of a line that are kept: the longer of the two
// field names and its colon.
const maxPrefix = len(fieldCoding) + 1

// Scanner scans the bytes received on one connection for request heads with both
// fields. The zero value is ready to use.
//
// It does not know where a request ends. It only splits the bytes into blocks of
// lines separated by empty lines; since a head is always within one block, every
// head with both fields is detected. False positives are possible from lines in a
// body, or where a body and the next head form one block. They only cost the
// caller a new connection, and only if a chunked request follows.
type Scanner struct {
	// line holds the first bytes of the current line, and size is its length so
	// far in bytes, without the line feed.
	line [maxPrefix]byte
	size int
	// hasLength and hasCoding are set if the current block has the field.
	hasLength bool
	hasCoding bool
	// ambiguous is set once a block had both fields, and never cleared.
	ambiguous atomic.Bool
}

// Scan scans the next bytes of the connection. It must not be called
// concurrently.
func (scn *Scanner) Scan(got []byte) {
	for len(got) > 0 {
		end := bytes.IndexByte(got, '\n')
		if end < 0 {
			scn.appendLine(got)
			return
		}
		scn.appendLine(got[:end])
		scn.endLine()
		got = got[end+1:]
	}
}

// appendLine adds bytes to the current line.
func (scn *Scanner) appendLine(part []byte) {
	if scn.size < maxPrefix {
		copy(scn.line[scn.size:], part)
	}
	scn.size += len(part)
}

// endLine evaluates the current line and starts the next.
func (scn *Scanner) endLine() {
	line := scn.line[:min(scn.size, maxPrefix)]
	if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
		scn.hasLength, scn.hasCoding = false, false
	}
	// A parser that does not unfold continuation lines may not recognize a
	// folded Transfer-Encoding.
	folded := len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
	if scn.hasCoding && folded {
		scn.ambiguous.Store(true)
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if found {
		scn.hasLength = scn.hasLength || bytes.EqualFold(name, []byte(fieldLength))
		scn.hasCoding = scn.hasCoding || bytes.EqualFold(name, []byte(fieldCoding))
	}
	if scn.hasLength && scn.hasCoding {
		scn.ambiguous.Store(true)
	}
	scn.size = 0
}

// Ambiguous reports whether any head received so far may have had both fields.
func (scn *Scanner) Ambiguous() bool { return scn.ambiguous.Load() }

// ScannedConn is a connection that scans the bytes received on it.
type ScannedConn interface {
	net.Conn
	FrameScanner() *Scanner
}

type contextKey struct{}

// ConnContext is for the ConnContext field of an http.Server. It adds the
// connection's Scanner to the context of its requests.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	if snc, ok := con.(ScannedConn); ok {
		return context.WithValue(ctx, contextKey{}, snc.FrameScanner())
	}
	return ctx
}

// MustClose reports whether the connection must be closed after a request,
// because the request is chunked and may have had a Content-Length too. On a
// connection that is not a ScannedConn, that is every chunked request.
//
// It also reports true for every HTTP/1.0 request: Go's HTTP server ignores its
// Transfer-Encoding, and a proxy that uses the field sees another end of the request.
func MustClose(htr *http.Request) bool {
	if !htr.ProtoAtLeast(1, 1) {
		return true
	}
	if len(htr.TransferEncoding) == 0 {
		return false
	}
	scn, scanned := htr.Context().Value(contextKey{}).(*Scanner)
	return !scanned || scn.Ambiguous()
}

// RequestError reports a request that Go's HTTP server accepts but that must not
// be run.
type RequestError struct {
	// Problem describes what is wrong with the request.
	Problem string
}

// Error returns the problem.
func (err *RequestError) Error() string { return err.Problem }

// Check returns a *RequestError if a request must not be run; its connection must
// be closed after the answer. Otherwise the bytes after it would be parsed as
// requests (those of a tunnel or another protocol), or the request would run
// without its body (HTTP/1.0 with chunks, whose Transfer-Encoding Go's HTTP
// server ignores).
func Check(htr *http.Request) error {
	_, told := htr.Header["Content-Length"]
	switch {
	case htr.Method == http.MethodConnect:
		return &RequestError{Problem: "method: there are no tunnels"}
	case htr.ProtoMajor > 1 && htr.Method == "PRI":
		return &RequestError{Problem: "version: want HTTP/1.1"}
	case !htr.ProtoAtLeast(1, 1) && !told && hasBody(htr.Method):
		return &RequestError{Problem: "Content-Length: a body in HTTP/1.0 needs one"}
	}
	return nil
}

// hasBody reports whether requests of a method have a body (RFC 1945, section
// 8.3).
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
