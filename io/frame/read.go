package frame

import (
	"io"

	"lovagestream/core/call"
)

// MaxHeadBytes bounds the head of a response to this system's own requests, where
// http.Transport would read 10 MB.
const MaxHeadBytes = 32 << 10

// ReadAll reads a response's body of at most a number of bytes. If there are more, it returns
// a *call.BoundError and nothing that was read.
func ReadAll(body io.Reader, most int64) ([]byte, error) {
	got, err := io.ReadAll(io.LimitReader(body, most+1))
	if err == nil && int64(len(got)) > most {
		err = &call.BoundError{Part: "body", Bytes: most}
	}
	if err != nil {
		return nil, err
	}
	return got, nil
}
