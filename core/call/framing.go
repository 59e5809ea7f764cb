package call

// Framing is how a response marks the end of its body.
type Framing uint8

const (
	// UnknownFraming is that of a response of which no framing is known.
	UnknownFraming Framing = iota
	// LengthFraming is a length in the response's head.
	LengthFraming
	// ChunkedFraming is a last chunk.
	ChunkedFraming
	// CloseFraming is the end of the connection. It looks the same whether the
	// server has finished the body or has crashed.
	CloseFraming
)

// String returns the framing as it is named in logs and metrics.
func (fra Framing) String() string {
	switch fra {
	case LengthFraming:
		return "length"
	case ChunkedFraming:
		return "chunked"
	case CloseFraming:
		return "close"
	}
	return "unknown"
}
