package logs

import (
	"fmt"
	"strings"
	"sync"

	"github.com/go-kratos/kratos/v2/log"
)

// kratosOnce guards the process-wide logger of kratos.
var kratosOnce sync.Once

// SetKratosLogger sends the log lines of kratos to a root, as those of the component
// "kratos". Kratos has one logger in a process, which can't be changed while servers
// run; so call it before any server starts. Only the first call has an effect.
func SetKratosLogger(roo *Root) {
	kratosOnce.Do(func() { log.SetLogger(&kratosLogger{lgr: roo.For("kratos")}) })
}

// kratosLogger implements kratos' logger on a Logger.
type kratosLogger struct {
	lgr *Logger
}

var _ log.Logger = (*kratosLogger)(nil)

// Log logs one line of kratos, given as pairs of keys and values that include the
// message. It never fails.
func (kra *kratosLogger) Log(lvl log.Level, pairs ...any) error {
	text := ""
	fie := Fields{}
	for i := 0; i+1 < len(pairs); i += 2 {
		key := fmt.Sprint(pairs[i])
		if key == log.DefaultMessageKey {
			text = toSentence(fmt.Sprint(pairs[i+1]))
			continue
		}
		fie[strings.ReplaceAll(key, "_", "-")] = pairs[i+1]
	}
	switch {
	case lvl >= log.LevelWarn:
		kra.lgr.Warn(text, fie)
	case lvl >= log.LevelInfo:
		kra.lgr.Info(text, fie)
	default:
		kra.lgr.Debug(text, fie)
	}
	return nil
}

// toSentence formats a message of kratos like the project's own: a capital first
// letter, a period at the end, and no "[HTTP]" prefix.
func toSentence(text string) string {
	text = strings.TrimSpace(strings.TrimPrefix(text, "[HTTP] "))
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + strings.TrimSuffix(text[1:], ".") + "."
}
