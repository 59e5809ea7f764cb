package call

import "io"

// EndedError is the error of a request whose server ended under it: the server closed the
// connection and refuses new ones.
type EndedError struct{}

// Error says so.
func (*EndedError) Error() string { return "the server closed the connection and refuses new ones" }

// Unwrap returns io.ErrUnexpectedEOF, since the answer is incomplete.
func (*EndedError) Unwrap() error { return io.ErrUnexpectedEOF }
