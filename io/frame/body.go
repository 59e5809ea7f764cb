package frame

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
)

// BodyErrorKind is the kind of a BodyError.
type BodyErrorKind int

// The kinds of body errors.
const (
	// TooLarge means that the body exceeds the size limit, by its
	// Content-Length or by the bytes received.
	TooLarge BodyErrorKind = iota + 1
	// TooSlow means that the body was not received before the deadline.
	TooSlow
	// Malformed means that the chunks or the trailer can't be parsed.
	Malformed
	// Truncated means that the connection ended within the body. One that
	// ended within the trailer is reported as Malformed: net/http does not
	// distinguish the two, and a caller that left does not get the answer.
	Truncated
)

// String returns the name that is used in logs.
func (bek BodyErrorKind) String() string {
	switch bek {
	case TooLarge:
		return "body-too-large"
	case TooSlow:
		return "body-too-slow"
	case Malformed:
		return "malformed-body"
	case Truncated:
		return "body-broken-off"
	}
	return "unknown"
}

// BodyError reports a body that could not be read completely. The connection
// must be closed after the answer: otherwise the rest of the body would be parsed
// as the next request.
type BodyError struct {
	Kind BodyErrorKind
	// Cause is the read error; nil if the body was too large.
	Cause error
}

// Error returns the kind and the cause.
func (err *BodyError) Error() string {
	if err.Cause == nil {
		return err.Kind.String()
	}
	return fmt.Sprintf("%s: %v", err.Kind, err.Cause)
}

// Unwrap returns the cause.
func (err *BodyError) Unwrap() error { return err.Cause }

// ReadBody reads a request body of at most maxSize bytes, which must be received
// before the deadline. Without it, a caller that sends slowly could hold the
// buffer and delay a planned stop indefinitely. The error is always a *BodyError.
func ReadBody(wri http.ResponseWriter, htr *http.Request, maxSize int64, deadline time.Time, clk clock.Service) ([]byte, error) {
	if htr.ContentLength > maxSize {
		return nil, &BodyError{Kind: TooLarge}
	}
	if htr.ContentLength == 0 {
		// For a request without a body, net/http is already reading in the
		// background to detect that the caller disconnects.
		SetReadDeadline(wri, time.Time{})
		return nil, nil
	}
	SetReadDeadline(wri, deadline)
	body, err := io.ReadAll(io.LimitReader(htr.Body, maxSize+1))
	switch {
	case err != nil:
		return nil, &BodyError{Kind: classify(err, clk.Now().Before(deadline)), Cause: err}
	case int64(len(body)) > maxSize:
		return nil, &BodyError{Kind: TooLarge}
	}
	// The deadline must be cleared before the request runs: net/http detects a
	// caller that disconnects by a background read, which would fail at the
	// deadline.
	SetReadDeadline(wri, time.Time{})
	return body, nil
}

// classify returns the kind of a read error.
func classify(err error, beforeDeadline bool) BodyErrorKind {
	var nerr net.Error
	network := errors.As(err, &nerr)
	switch {
	case network && nerr.Timeout() || !beforeDeadline:
		return TooSlow
	case network || errors.Is(err, io.ErrUnexpectedEOF):
		return Truncated
	}
	return Malformed
}

// SetReadDeadline sets the deadline for reading a request body; a zero time
// clears it. A refused body needs a deadline too: net/http keeps reading it
// around the answer, so that a caller that is still sending is not reset before
// it has read the answer. A caller that sends nothing more would hold the
// connection there.
func SetReadDeadline(wri http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(wri).SetReadDeadline(deadline)
}
