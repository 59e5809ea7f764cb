package stage

import (
	"fmt"
)

// Fault is the way in which a stage call failed.
type Fault string

// The faults. Only FaultDial and FaultNotSent prove that nothing was sent.
const (
	// FaultDial: no connection was opened, so nothing was sent.
	FaultDial Fault = "dial"
	// FaultNotSent: the call's send check failed, so nothing was sent.
	FaultNotSent Fault = "held"
	// FaultConnLost: the connection or stream ended before the reply was complete.
	FaultConnLost Fault = "lost"
	// FaultSilent: no byte arrived for the pool's silence timeout.
	FaultSilent Fault = "silent"
	// FaultMismatch: the reply carried another call's ID.
	FaultMismatch Fault = "mismatch"
	// FaultMalformed: the reply was malformed, or the request could not be encoded.
	FaultMalformed Fault = "garbage"
	// FaultTooLarge: the reply exceeded a size limit.
	FaultTooLarge Fault = "too-large"
	// FaultStatus: the server replied with a status other than 200.
	FaultStatus Fault = "status"
	// FaultCanceled: the request's deadline passed, or its caller left.
	FaultCanceled Fault = "ended"
	// FaultSink: the sink returned an error.
	FaultSink Fault = "sink"
)

// faults lists every fault, for the counters.
var faults = []Fault{FaultDial, FaultNotSent, FaultConnLost, FaultSilent, FaultMismatch, FaultMalformed, FaultTooLarge, FaultStatus, FaultCanceled, FaultSink}

// Faults returns all faults.
func Faults() []Fault { return append([]Fault(nil), faults...) }

// Error describes a failed stage call.
type Error struct {
	server string
	stage  string
	fault  Fault
	status int
	cause  error
}

// Server returns the ID of the backend server.
func (err *Error) Server() string { return err.server }

// Stage returns the name of the stage.
func (err *Error) Stage() string { return err.stage }

// Fault returns how the call failed.
func (err *Error) Fault() Fault { return err.fault }

// Status returns the HTTP status of a FaultStatus, else 0.
func (err *Error) Status() int { return err.status }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.cause }

// Error returns the stage, the server, the fault and the cause.
func (err *Error) Error() string {
	if err.status != 0 {
		return fmt.Sprintf("stage %s at %s: status %d", err.stage, err.server, err.status)
	}
	return fmt.Sprintf("stage %s at %s: %s: %v", err.stage, err.server, err.fault, err.cause)
}

var _ error = (*Error)(nil)
