// Package logs provides each component with its logger. Messages are short
// sentences, prefixed with the component's name; details go into fields. Secrets and
// request bodies must not be logged.
package logs

import (
	"io"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Root is the root logger of a process or, in tests, of an entry instance.
type Root struct {
	log *logrus.Logger
}

// New returns a root that writes lines of at least a level, such as "info", in the
// format "text" or "json". It returns an error for an unknown level or format.
func New(out io.Writer, level, format string) (*Root, error) {
	lvl, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(lvl)
	switch format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{})
	default:
		return nil, errors.Errorf("log format %q: want text or json", format)
	}
	return &Root{log: log}, nil
}

// Discard returns a root that discards all lines.
func Discard() *Root {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Root{log: log}
}

// For returns the logger of a component.
func (roo *Root) For(part string) *Logger {
	return &Logger{ent: roo.log.WithField("part", part), part: part}
}

// Logger is the logger of one component.
type Logger struct {
	ent  *logrus.Entry
	part string
}

// Fields are the structured fields of a log line. Keys are in kebab case.
type Fields = logrus.Fields

// Info logs an event of interest to operators.
func (lgr *Logger) Info(text string, fie Fields) {
	lgr.ent.WithFields(fie).Info(lgr.part + ": " + text)
}

// Warn logs a condition that an operator should look into.
func (lgr *Logger) Warn(text string, fie Fields) {
	lgr.ent.WithFields(fie).Warn(lgr.part + ": " + text)
}

// Debug logs a detail for developers.
func (lgr *Logger) Debug(text string, fie Fields) {
	lgr.ent.WithFields(fie).Debug(lgr.part + ": " + text)
}
