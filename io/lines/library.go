package lines

import (
	"fmt"
	"strings"

	klog "github.com/go-kratos/kratos/v2/log"
)

// maxTextBytes is the size, in bytes, that a library's log text is truncated to.
const maxTextBytes = 256

// LibraryLogger is the logger of libraries. It writes their log lines as structured
// lines that do not block on the output.
type LibraryLogger struct{ wri *Writer }

var _ klog.Logger = LibraryLogger{}

// NewLibraryLogger returns a logger for libraries that writes to wri.
func NewLibraryLogger(wri *Writer) LibraryLogger { return LibraryLogger{wri: wri} }

// Log writes one line of kind "library". It never fails.
func (lib LibraryLogger) Log(level klog.Level, keyvals ...any) error {
	var pairs []string
	for idx := 0; idx+1 < len(keyvals); idx += 2 {
		pairs = append(pairs, fmt.Sprintf("%v=%v", keyvals[idx], keyvals[idx+1]))
	}
	text := strings.Join(pairs, " ")
	lib.wri.Log("library", Fields{"severity": level.String(), "text": text[:min(len(text), maxTextBytes)]})
	return nil
}
