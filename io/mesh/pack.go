package mesh

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Pack compresses a document: what 300 peers ask for at the same moment is as
// many times its size on one instance's link, and documents repeat themselves.
func Pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	wri, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compression")
	}
	if _, err := wri.Write(document); err != nil {
		return nil, errors.Wrap(err, "compression")
	}
	if err := wri.Close(); err != nil {
		return nil, errors.Wrap(err, "compression")
	}
	return out.Bytes(), nil
}

// unpack reads a packed document. A few bytes can unpack to gigabytes; reading
// stops at the bound instead of running out of memory.
func unpack(packed []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxMessage+1))
	if err != nil {
		return nil, errors.Wrap(err, "packed document")
	}
	if len(out) > maxMessage {
		return nil, errors.New("packed document is too large")
	}
	return out, nil
}
