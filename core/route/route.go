// Package route chooses the backend server for a stage call.
//
// It makes decisions and keeps counters; it opens no connection and reads no
// clock. Server counters are atomic, so that request goroutines choose and
// count without a lock that the control goroutine could hold.
package route

import (
	"math/rand/v2"
	"time"

	"lovagestream/core/policy"
)

// Query is the input of a routing decision.
type Query struct {
	// servers are the candidates; a policy skips those that are leaving.
	servers []*Server
	now     time.Time
	// left is the time until the request's deadline.
	left time.Duration
	zone string
	// tokens is the number of tokens still to be generated, prompt the length
	// of the prompt in tokens; both are 0 for a plain call.
	tokens int
	prompt int
	prefix uint64
	avoid  []*Server
	// entryInstances is the number of entry instances that share the servers,
	// at least 1.
	entryInstances int
	rng            *rand.Rand
}

// NewQuery returns a query made at now by an entry instance in a zone, with the
// time left until the request's deadline. The query owns the random source.
func NewQuery(servers []*Server, now time.Time, left time.Duration, zone string, rng *rand.Rand) Query {
	return Query{servers: servers, now: now, left: left, zone: zone, rng: rng, entryInstances: 1}
}

// WithWork sets the number of tokens to generate and the hash of the prompt's
// prefix.
func (qry Query) WithWork(tokens int, prefix uint64) Query {
	qry.tokens, qry.prefix = tokens, prefix
	return qry
}

// WithPrompt sets the length of the prompt in tokens.
func (qry Query) WithPrompt(prompt int) Query {
	qry.prompt = prompt
	return qry
}

// WithAvoid excludes servers that earlier attempts used.
func (qry Query) WithAvoid(avoid []*Server) Query {
	qry.avoid = avoid
	return qry
}

// WithEntryInstances sets the number of entry instances that share the servers.
func (qry Query) WithEntryInstances(instances int) Query {
	qry.entryInstances = max(1, instances)
	return qry
}

// eligible reports whether a server may receive this call.
func (qry *Query) eligible(srv *Server) bool {
	if srv.Leaving() {
		return false
	}
	for _, bad := range qry.avoid {
		if bad == srv {
			return false
		}
	}
	return true
}

// Eligible returns the servers that may receive this call, in a new slice.
func (qry *Query) Eligible() []*Server {
	var out []*Server
	for _, srv := range qry.servers {
		if qry.eligible(srv) {
			out = append(out, srv)
		}
	}
	return out
}

// promptPerToken is the number of prompt tokens that cost an engine as much as
// one generated token.
const promptPerToken = 64

// WorkUnits returns the work of a call in units of one generated token: the
// generated tokens plus the computed prompt tokens at their lower cost, or 1
// for a plain call.
func WorkUnits(generated, prompt int) float64 {
	if generated == 0 && prompt == 0 {
		return 1
	}
	return float64(generated) + float64(prompt)/promptPerToken
}

// Policy is a routing policy. It returns one of the query's servers, or nil if
// none is eligible.
type Policy = policy.Policy[Query, *Server]

// Attempt is one call to a chosen server, from the decision to its result. The
// result updates the server's measured speed and failure state.
type Attempt struct {
	srv       *Server
	startedAt time.Time
	// load is the server's load at the decision, including this call.
	load float64
}

// NewAttempt records a decision, whichever policy made it.
func NewAttempt(qry Query, srv *Server) Attempt {
	srv.pfx.add(qry.prefix)
	return Attempt{srv: srv, startedAt: qry.now, load: srv.Load(qry.now, qry.entryInstances) + 1}
}

// Completed records a complete reply to a plain call.
func (att Attempt) Completed(now time.Time) {
	att.srv.answered(now)
	if duration := now.Sub(att.startedAt); duration > 0 {
		att.srv.spd.observe(now, duration.Seconds()/Slowdown(att.load, att.srv.slots()), duration.Seconds())
	}
}

// StreamCompleted records a complete stream and its mean time per token,
// measured from the first token to the last.
//
// The time to the first token is excluded: most of it may be queueing, and the
// queue's length is known only from an earlier report. Counting it as server
// speed would make a full pool look slow, and keep it looking slow after the
// queue has drained.
func (att Attempt) StreamCompleted(now time.Time, timePerToken time.Duration) {
	att.srv.answered(now)
	att.ObserveTokenTime(now, timePerToken)
}

// ObserveTokenTime records the time per token of a stream that was incomplete
// or abandoned as too slow.
func (att Attempt) ObserveTokenTime(now time.Time, timePerToken time.Duration) {
	if timePerToken <= 0 {
		return
	}
	slots := att.srv.slots()
	batch := Slowdown(min(att.load, slots), slots)
	att.srv.spd.observe(now, timePerToken.Seconds()/batch, now.Sub(att.startedAt).Seconds())
}

// Failed records that the call failed through the server's own fault.
func (att Attempt) Failed(now time.Time) { att.srv.brk.failed(now) }

// fullBatchSlowdown is how many times longer a call takes on a server whose
// slots are all in use than on an idle one, before any call has to queue.
const fullBatchSlowdown = 1.5

// slowdown returns the slowdown, relative to an idle server, of a call added to
// some load.
func (srv *Server) slowdown(load float64) float64 { return Slowdown(load+1, srv.slots()) }

// Slowdown returns how many times longer than on an idle server a call takes at
// some load, itself included, on a server with some slots. The time grows
// slightly with each slot in use, then in proportion to the queue.
func Slowdown(load, slots float64) float64 {
	slots = max(1, slots)
	batch := 1 + (fullBatchSlowdown-1)*min(load, slots)/slots
	return batch * max(1, load/slots)
}
