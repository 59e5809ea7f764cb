package stage

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// decode parses a body that holds exactly one JSON value. It decodes while
// reading, so a server that keeps writing after the value fails at the first
// extra byte and not at the deadline.
func (exc *exchange) decode(rdr io.Reader, into any) *Error {
	src := &boundedReader{rdr: rdr, left: exc.cli.maxAnswer}
	dec := json.NewDecoder(src)
	err := dec.Decode(into)
	if err == nil {
		// Nothing may follow the value.
		if _, err = dec.Token(); errors.Is(err, io.EOF) && src.ended() {
			return nil
		}
		if err == nil {
			err = errors.New("data after the JSON value")
		}
	}
	switch {
	case src.over:
		return exc.fail(FaultTooLarge, errors.Errorf("reply exceeds %d bytes", exc.cli.maxAnswer))
	case src.err != nil && !src.ended(), exc.unframed && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
		return exc.fail(FaultConnLost, src.err)
	}
	return exc.fail(FaultMalformed, err)
}

// boundedReader reads at most left bytes and keeps the error that ended its
// source.
type boundedReader struct {
	rdr  io.Reader
	left int64
	// over is set if the source had more than left bytes.
	over bool
	err  error
}

// ended reports whether the source ended with io.EOF.
func (bnd *boundedReader) ended() bool { return errors.Is(bnd.err, io.EOF) }

// Read asks the source for up to one byte more than the limit, to detect that
// there is more.
func (bnd *boundedReader) Read(buf []byte) (int, error) {
	if bnd.over {
		return 0, io.ErrUnexpectedEOF
	}
	num, err := bnd.rdr.Read(buf[:min(int64(len(buf)), bnd.left+1)])
	if err != nil {
		bnd.err = err
	}
	if int64(num) > bnd.left {
		bnd.over = true
		return int(bnd.left), io.ErrUnexpectedEOF
	}
	bnd.left -= int64(num)
	return num, err
}
