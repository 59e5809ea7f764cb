package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// flateWriters reuses compressors, as one takes half a megabyte.
var flateWriters = sync.Pool{New: func() any {
	wri, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		// NewWriter fails only for an invalid level.
		return nil
	}
	return wri
}}

// Pack compresses a document with DEFLATE. Documents are repetitive, and 300
// peers that ask one instance for a document at the same moment take 300 times its
// size on the instance's network link.
func Pack(document []byte) ([]byte, error) {
	wri, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		return nil, errors.New("compress document: no compressor")
	}
	defer flateWriters.Put(wri)
	var out bytes.Buffer
	wri.Reset(&out)
	if _, err := wri.Write(document); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := wri.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return out.Bytes(), nil
}

// unpack decompresses a document of up to maxMessageSize bytes. The limit keeps a
// few bytes that expand to gigabytes from exhausting the memory.
func unpack(packed []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxMessageSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress packed document")
	}
	if len(out) > maxMessageSize {
		return nil, errors.New("decompress packed document: result exceeds the maximum message size")
	}
	return out, nil
}
