// Package lines writes the events and decisions of an entry instance as structured
// log lines. Callers never block on the output: lines go through a bounded queue
// that drops them when it is full, and a token bucket for each kind of line keeps a
// flood of one kind from displacing the others. Dropped lines are counted and
// reported.
package lines

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lovagestream/io/clock"
)

// Fields are the structured fields of a line. They must not contain secrets or
// request bodies.
type Fields = logrus.Fields

const (
	// queueLength is the number of lines that may wait for the output.
	queueLength = 512
	// linesPerSecond is the rate limit of each kind. A line costs about 10 µs of a
	// small processor, so all kinds together stay under 2% of it.
	linesPerSecond = 60
	// burstLines is the number of lines that one kind may write at once.
	burstLines = 120
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
	// maxKinds limits the number of token buckets; lines of further kinds are
	// dropped.
	maxKinds = 128
)

type line struct {
	at   time.Time
	kind string
	fie  Fields
}

type bucket struct {
	tokens  float64
	at      time.Time
	dropped int64
}

// Writer writes the lines of one entry instance. It is safe for concurrent use.
type Writer struct {
	log *logrus.Logger
	clk clock.Service
	que chan line

	mu      sync.Mutex
	buckets map[string]*bucket
	// unreported counts the lines dropped since the last report of dropped lines;
	// reported counts those in all reports.
	unreported atomic.Int64
	reported   atomic.Int64
}

// New returns a writer to an output. Lines are queued until Run is called.
func New(out io.Writer, clk clock.Service) *Writer {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", DisableHTMLEscape: true})
	return &Writer{log: log, clk: clk, que: make(chan line, queueLength), buckets: map[string]*bucket{}}
}

// Log queues a line of a kind, or drops it if the kind is over its rate limit or
// the queue is full. The caller must not use the fields afterwards.
func (wri *Writer) Log(kind string, fie Fields) {
	now := wri.clk.Now()
	if !wri.allow(kind, now) {
		wri.unreported.Add(1)
		return
	}
	select {
	case wri.que <- line{at: now, kind: kind, fie: fie}:
	default:
		wri.unreported.Add(1)
	}
}

func (wri *Writer) allow(kind string, now time.Time) bool {
	wri.mu.Lock()
	defer wri.mu.Unlock()
	bkt := wri.buckets[kind]
	if bkt == nil {
		if len(wri.buckets) >= maxKinds {
			return false
		}
		bkt = &bucket{tokens: burstLines, at: now}
		wri.buckets[kind] = bkt
	}
	bkt.tokens = min(burstLines, bkt.tokens+now.Sub(bkt.at).Seconds()*linesPerSecond)
	bkt.at = now
	if bkt.tokens < 1 {
		bkt.dropped++
		return false
	}
	bkt.tokens--
	return true
}

// Dropped returns the number of all lines that were dropped.
func (wri *Writer) Dropped() int64 { return wri.reported.Load() + wri.unreported.Load() }

// Run writes queued lines until the context ends, and then writes the remaining
// ones. It always returns nil.
func (wri *Writer) Run(ctx context.Context) error {
	lastReport := wri.clk.Now()
	for {
		select {
		case lin := <-wri.que:
			wri.write(lin)
		case <-ctx.Done():
			wri.flush()
			return nil
		}
		if now := wri.clk.Now(); now.Sub(lastReport) > dropReportInterval {
			lastReport = now
			wri.reportDropped(now)
		}
	}
}

func (wri *Writer) reportDropped(now time.Time) {
	num := wri.unreported.Swap(0)
	if num == 0 {
		return
	}
	wri.reported.Add(num)
	wri.write(line{at: now, kind: "lines-left-out", fie: Fields{"count": num}})
}

func (wri *Writer) flush() {
	for {
		select {
		case lin := <-wri.que:
			wri.write(lin)
		default:
			wri.reportDropped(wri.clk.Now())
			return
		}
	}
}

func (wri *Writer) write(lin line) {
	wri.log.WithTime(lin.at).WithFields(lin.fie).Info(lin.kind)
}
