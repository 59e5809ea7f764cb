package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// maxInflated bounds a decompressed field in bytes: the largest configuration
// document and the encoding of its sections.
const maxInflated = 1<<20 + 256<<10

// deflate encodes and compresses a protobuf message.
func deflate(msg proto.Message) []byte {
	raw, err := proto.Marshal(msg)
	if err != nil {
		// Only invalid UTF-8 makes Marshal fail, and the decoders of documents
		// and lists have rejected it before.
		return nil
	}
	var out bytes.Buffer
	wri, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil
	}
	_, _ = wri.Write(raw)
	_ = wri.Close()
	return out.Bytes()
}

// inflate decompresses and decodes a protobuf message. It stops at maxInflated,
// since a few bytes can decompress to gigabytes.
func inflate(data []byte, msg proto.Message) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflated+1))
	if err != nil {
		return errors.Wrap(err, "compressed field")
	}
	if len(raw) > maxInflated {
		return errors.New("compressed field is too large")
	}
	return errors.Wrap(proto.Unmarshal(raw, msg), "compressed field")
}
