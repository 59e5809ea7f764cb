package back

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// Run is one journal entry: a call that this server accepted.
type Run struct {
	call      string
	startedAt time.Time
	completed bool
	cancelled bool
	work      Work
}

// Work is the server time and the tokens that one call used.
type Work struct {
	// busyTime is the call's part of the time of a server with a full batch.
	busyTime time.Duration
	// prefillTokens counts the prompt tokens computed, cachedTokens those
	// found in the cache.
	prefillTokens int
	cachedTokens  int
	// generatedTokens counts the tokens generated, read by the client or not.
	generatedTokens int
}

// BusyTime returns the call's part of the time of a server with a full batch.
func (wrk Work) BusyTime() time.Duration { return wrk.busyTime }

// PrefillTokens returns the number of prompt tokens computed.
func (wrk Work) PrefillTokens() int { return wrk.prefillTokens }

// CachedTokens returns the number of prompt tokens found in the cache.
func (wrk Work) CachedTokens() int { return wrk.cachedTokens }

// GeneratedTokens returns the number of tokens generated.
func (wrk Work) GeneratedTokens() int { return wrk.generatedTokens }

// Call returns the call ID: request/stage/attempt/nonce.
func (run Run) Call() string { return run.call }

// Request returns the request ID.
func (run Run) Request() string { return run.part(0) }

// Stage returns the stage's name.
func (run Run) Stage() string { return run.part(1) }

// StartedAt returns when the server accepted the call.
func (run Run) StartedAt() time.Time { return run.startedAt }

// Completed reports whether the reply was written to its end.
func (run Run) Completed() bool { return run.completed }

// Cancelled reports whether the call was abandoned before its end.
func (run Run) Cancelled() bool { return run.cancelled }

// Work returns the call's work; it is zero until the call ends.
func (run Run) Work() Work { return run.work }

func (run Run) part(idx int) string {
	parts := strings.Split(run.call, "/")
	if idx >= len(parts) {
		return ""
	}
	return parts[idx]
}

// runBody is a journal entry on the wire and in a journal file.
type runBody struct {
	Call      string    `json:"call"`
	StartedAt time.Time `json:"began"`
	Completed bool      `json:"whole"`
	Cancelled bool      `json:"cancelled"`
	Ended     bool      `json:"ended"`
	Generated int       `json:"generated"`
	Prefill   int       `json:"prefill"`
	Cached    int       `json:"cached"`
	BusyMS    float64   `json:"busy-ms"`
}

// journalBody is the whole journal on the wire.
type journalBody struct {
	Runs []runBody `json:"runs"`
}

// journal records the calls of one server. It is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	runs []*Run
	// ended marks the runs that are over, completed or not.
	ended map[*Run]bool
	// out is nil unless a writer is set.
	out *json.Encoder
}

func (jrn *journal) setWriter(out io.Writer) {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	jrn.out = json.NewEncoder(out)
}

func (jrn *journal) begin(call string) *Run {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	run := &Run{call: call, startedAt: time.Now()}
	jrn.runs = append(jrn.runs, run)
	jrn.write(run)
	return run
}

func (jrn *journal) end(run *Run, completed, cancelled bool, wrk Work) {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	run.completed, run.cancelled, run.work = completed, cancelled, wrk
	if jrn.ended == nil {
		jrn.ended = map[*Run]bool{}
	}
	jrn.ended[run] = true
	jrn.write(run)
}

// write writes one line. It ignores errors: a test that reads the journal sees
// each missing line as a call that never began.
func (jrn *journal) write(run *Run) {
	if jrn.out != nil {
		_ = jrn.out.Encode(jrn.entry(run))
	}
}

func (jrn *journal) entry(run *Run) runBody {
	return runBody{
		Call:      run.call,
		StartedAt: run.startedAt,
		Completed: run.completed,
		Cancelled: run.cancelled,
		Ended:     jrn.ended[run],
		Generated: run.work.generatedTokens,
		Prefill:   run.work.prefillTokens,
		Cached:    run.work.cachedTokens,
		BusyMS:    float64(run.work.busyTime) / float64(time.Millisecond),
	}
}

func (jrn *journal) copy() []Run {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	runs := make([]Run, len(jrn.runs))
	for i, run := range jrn.runs {
		runs[i] = *run
	}
	return runs
}

func (jrn *journal) body() journalBody {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	bod := journalBody{Runs: make([]runBody, len(jrn.runs))}
	for i, run := range jrn.runs {
		bod.Runs[i] = jrn.entry(run)
	}
	return bod
}
