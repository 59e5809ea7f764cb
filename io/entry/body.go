package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/table"
	"lovagestream/io/conns"
	"lovagestream/io/frame"
	"lovagestream/io/lines"
)

// drainTimeout bounds reading the rest of the body of a refused request: a few
// round trips to a distant caller.
const drainTimeout = time.Second

const (
	// maxBodies bounds what the bodies of all requests hold, in bytes, beyond freeBodySize of
	// each: a quarter of the memory of a small instance. It is reserved in steps.
	maxBodies    = 64 << 20
	freeBodySize = 64 << 10
	bodyStep     = 64 << 10
)

// bodyMemoryError is the error of a request's body for which there is no memory.
type bodyMemoryError struct{ bytes int64 }

// Error names the size.
func (err *bodyMemoryError) Error() string {
	return fmt.Sprintf("no memory for more than %d bytes of the request", err.bytes)
}

// receivedBody is the body of a request. What is read of it is reserved until it is released.
type receivedBody struct {
	body io.ReadCloser
	mem  *conns.Memory
	size int64
	held int64
}

// Read reads the body. It returns a *bodyMemoryError if there is no memory for more.
func (rbo *receivedBody) Read(buf []byte) (int, error) {
	num, err := rbo.body.Read(buf)
	rbo.size += int64(num)
	if more := rbo.size - freeBodySize - rbo.held; more > 0 {
		more = (more + bodyStep - 1) / bodyStep * bodyStep
		if !rbo.mem.Reserve(more) {
			return 0, &bodyMemoryError{bytes: rbo.size}
		}
		rbo.held += more
	}
	return num, err
}

// Close closes the body.
func (rbo *receivedBody) Close() error { return rbo.body.Close() }

// release gives the reserved memory back.
func (rbo *receivedBody) release() {
	if rbo.held > 0 {
		rbo.mem.Release(rbo.held)
	}
	rbo.held = 0
}

// readBody reads a request's body within the caller's timeout. If the body
// can't be read completely, ok is false and the caller has been answered, or
// its request aborted if the body was cut off. fault is the error from decoding
// the head.
func (arq *activeRequest) readBody(htr *http.Request, lim table.Limits, fault error) (body []byte, ok bool) {
	wait := defaultTimeout
	if arq.req.Timeout > 0 {
		wait = min(wait, arq.req.Timeout)
	}
	arq.received.mem, arq.received.body = arq.srv.bodies, htr.Body
	htr.Body = &arq.received
	body, err := frame.ReadBody(arq.wri, htr, lim.MaxBodyBytes, arq.arrived.Add(wait), arq.srv.clk)
	var bad *frame.BodyError
	if !errors.As(err, &bad) {
		return body, true
	}
	var mem *bodyMemoryError
	if errors.As(err, &mem) {
		arq.closeAfterResponse()
		return nil, arq.checkHead(htr, lim, fault) && arq.refuse("no-memory-for-request", defaultRetryAfter)
	}
	switch bad.Kind {
	case frame.TooLarge:
		// Errors of the head take precedence: without a configuration, the
		// body limit is not known.
		arq.closeAfterResponse()
		return nil, arq.checkHead(htr, lim, fault) && arq.denyAndClose(http.StatusRequestEntityTooLarge, bad)
	case frame.TooSlow:
		return nil, arq.denyAndClose(http.StatusRequestTimeout, bad)
	case frame.Malformed:
		return nil, arq.denyAndClose(http.StatusBadRequest, bad)
	}
	arq.srv.log.Log("request-unread", lines.Fields{"id": arq.req.ID, "error": err.Error()})
	panic(http.ErrAbortHandler)
}

// denyAndClose denies a request whose body was not read completely, and closes
// the connection after the answer.
func (arq *activeRequest) denyAndClose(status int, bad *frame.BodyError) bool {
	arq.closeAfterResponse()
	return arq.deny(status, bad.Kind.String(), bad.Cause)
}

// closeAfterResponse closes the connection after the answer, and bounds the
// time for reading the rest of the body.
func (arq *activeRequest) closeAfterResponse() {
	frame.SetReadDeadline(arq.wri, arq.srv.clk.Now().Add(drainTimeout))
	arq.wri.Header().Set("Connection", "close")
}
