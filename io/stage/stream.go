package stage

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

// stream assembles the tokens of one completions stream.
type stream struct {
	exc  *exchange
	snk  Sink
	text strings.Builder
	// next is the offset that the next token must have.
	next  int
	usage *Usage
}

// boundedStream is a reader that fails after left bytes.
type boundedStream struct {
	rdr  io.Reader
	left int64
}

var errStreamTooLarge = errors.New("stream exceeds its size limit")

// Read returns errStreamTooLarge once no bytes are left.
func (bnd *boundedStream) Read(buf []byte) (int, error) {
	if bnd.left <= 0 {
		return 0, errStreamTooLarge
	}
	num, err := bnd.rdr.Read(buf[:min(int64(len(buf)), bnd.left)])
	bnd.left -= int64(num)
	return num, err
}

// readStream relays tokens until the end marker. A stream without the marker is
// incomplete, even if the HTTP body ended normally.
func (exc *exchange) readStream(rdr io.Reader, snk Sink) (*Reply, *Error) {
	stm := &stream{exc: exc, snk: snk, next: exc.cal.resume}
	stm.text.WriteString(exc.cal.resumeText)
	bnd := &boundedStream{rdr: rdr, left: streamBaseBytes + streamTokenBytes*int64(exc.cal.stg.MaxTokens())}
	for ev, err := range sse.Read(bnd, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		switch {
		case errors.Is(err, errStreamTooLarge), errors.Is(err, bufio.ErrTooLong):
			return nil, exc.fail(FaultTooLarge, err)
		case err != nil:
			return nil, exc.fail(FaultConnLost, err)
		}
		if ev.Data == streamEnd {
			return stm.finish()
		}
		if err := stm.handleEvent(ev.Data); err != nil {
			return nil, err
		}
	}
	return nil, exc.fail(FaultConnLost, errors.New("stream ended without its end marker"))
}

func (stm *stream) handleEvent(data string) *Error {
	exc := stm.exc
	var chu completionChunk
	if err := json.Unmarshal([]byte(data), &chu); err != nil {
		return exc.fail(FaultMalformed, err)
	}
	if chu.ID != exc.id {
		return exc.mismatch(chu.ID)
	}
	exc.recordLoad(chu.Load)
	if chu.Usage != nil {
		stm.usage = chu.Usage
	}
	if len(chu.Choices) == 0 || chu.Choices[0].Text == "" {
		return nil
	}
	return stm.acceptToken(chu.Offset, chu.Choices[0].Text)
}

// acceptToken accepts only the token with the next offset. Passing on a repeated
// token, or one after a gap, would silently duplicate or lose part of the
// answer. For the same reason a resumed stream must begin right after the tokens
// that the caller has.
func (stm *stream) acceptToken(offset int, txt string) *Error {
	exc := stm.exc
	switch {
	case offset != stm.next:
		return exc.fail(FaultMalformed, errors.Errorf("token %d where %d was due", offset, stm.next))
	case stm.next >= exc.cal.stg.MaxTokens() || len(txt) > maxTokenBytes:
		return exc.fail(FaultTooLarge, errors.Errorf("token %d of %d bytes exceeds the limits", offset, len(txt)))
	case int64(stm.text.Len()+len(txt)) > exc.cli.maxAnswer:
		return exc.fail(FaultTooLarge, errors.Errorf("answer exceeds %d bytes", exc.cli.maxAnswer))
	}
	stm.next++
	stm.text.WriteString(txt)
	if stm.snk == nil {
		return nil
	}
	if err := stm.snk(offset, txt); err != nil {
		return exc.fail(FaultSink, err)
	}
	return nil
}

func (stm *stream) finish() (*Reply, *Error) {
	if stm.usage == nil {
		return nil, stm.exc.fail(FaultMalformed, errors.New("stream ended without usage"))
	}
	raw, err := json.Marshal(stm.text.String())
	if err != nil {
		return nil, stm.exc.fail(FaultMalformed, err)
	}
	return &Reply{output: raw, usage: *stm.usage}, nil
}
