// Package load is an open-loop load generator that sends requests to entry
// instances and checks every answer. A plan, generated from a seed before the
// run, fixes when each request is sent, so a slow system does not reduce the
// load. Latency is measured from the planned time, to include the time that a
// request waits in the generator or in a socket.
//
// Only benchmarks and tests use it.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/stand/back"
)

// Phase is a part of the plan with Poisson arrivals at one mean rate.
type Phase struct {
	length time.Duration
	// rate is in requests a second.
	rate float64
}

// NewPhase returns a phase with a rate in requests a second.
func NewPhase(length time.Duration, rate float64) Phase {
	return Phase{length: length, rate: rate}
}

// Kind is one kind of request in a mix.
type Kind struct {
	pipeline string
	account  string
	weight   float64
	// stream is the fraction of requests that ask for a stream.
	stream float64
	// prefixes is the number of different prompt prefixes, each of prefixBytes.
	// firstPrefixShare of the requests use the first one, the others any.
	prefixes         int
	prefixBytes      int
	firstPrefixShare float64
	// uniqueBytes is the length of the text after the prefix, which differs in
	// each request.
	uniqueBytes int
	// word is added to the text; backend servers may crash on it.
	word string
	// retries is how often the caller retries a failed request.
	retries int
	// excluded excludes the kind from the attainment.
	excluded bool
	// count, unless it is 0, is a fixed number of requests, spread evenly over
	// the plan, instead of a part of the mix.
	count int
}

// NewKind returns a kind of request of a client account to a pipeline.
func NewKind(pipeline, account string, weight float64) Kind {
	return Kind{pipeline: pipeline, account: account, weight: weight, prefixes: 1, uniqueBytes: 64}
}

// WithStream sets the fraction of requests that ask for a stream.
func (kin Kind) WithStream(share float64) Kind {
	kin.stream = share
	return kin
}

// WithText sets the number of prompt prefixes, their length, the fraction of
// requests that use the first one, and the length of the text after it.
func (kin Kind) WithText(prefixes, prefixBytes int, firstPrefixShare float64, uniqueBytes int) Kind {
	kin.prefixes, kin.prefixBytes, kin.firstPrefixShare, kin.uniqueBytes = max(1, prefixes), prefixBytes, firstPrefixShare, uniqueBytes
	return kin
}

// WithWord adds a word to each request's text.
func (kin Kind) WithWord(word string) Kind {
	kin.word = word
	return kin
}

// WithRetries sets how often a caller retries a failed request.
func (kin Kind) WithRetries(num int) Kind {
	kin.retries = num
	return kin
}

// ExcludeFromAttainment excludes the kind from the attainment, but not from the
// load.
func (kin Kind) ExcludeFromAttainment() Kind {
	kin.excluded = true
	return kin
}

// WithCount sets a fixed number of requests, spread evenly over the plan, instead
// of a part of the mix.
func (kin Kind) WithCount(num int) Kind {
	kin.count, kin.weight = num, 0
	return kin
}

// Request is one request of a plan.
type Request struct {
	id   string
	at   time.Duration
	kind *Kind
	// deadline is relative to at.
	deadline time.Duration
	stream   bool
	body     json.RawMessage
	// want is the output that a complete answer must have.
	want json.RawMessage
}

// ID returns the request's ID; retries append a number to it.
func (rqt *Request) ID() string { return rqt.id }

// At returns when the request is sent, relative to the start of the plan.
func (rqt *Request) At() time.Duration { return rqt.at }

// Account returns the client account that sends it.
func (rqt *Request) Account() string { return rqt.kind.account }

// Pipeline returns the pipeline that it is sent to.
func (rqt *Request) Pipeline() string { return rqt.kind.pipeline }

// Plan holds all requests of a run in the order in which they are sent.
type Plan struct {
	requests []*Request
}

// Requests returns the requests in the order in which they are sent.
func (pln *Plan) Requests() []*Request { return pln.requests }

// First returns a plan of the first requests, which are sent at once and have the
// given name as their ID.
func (pln *Plan) First(num int, name string) *Plan {
	got := &Plan{}
	for _, rqt := range pln.requests[:min(num, len(pln.requests))] {
		cpy := *rqt
		cpy.id, cpy.at = name, 0
		got.requests = append(got.requests, &cpy)
	}
	return got
}

// planner generates one plan.
type planner struct {
	doc   *config.Document
	kinds []Kind
	total float64
	rng   *rand.Rand
	// prefixTexts holds the prompt prefixes generated so far.
	prefixTexts map[string]string
	pln         *Plan
}

// NewPlan generates a plan. The same seed gives the same plan.
func NewPlan(doc *config.Document, kinds []Kind, phases []Phase, seed uint64) (*Plan, error) {
	plr := &planner{doc: doc, kinds: kinds, rng: rand.New(rand.NewPCG(seed, 1)), prefixTexts: map[string]string{}, pln: &Plan{}}
	for _, kin := range kinds {
		if doc.Pipeline(kin.pipeline) == nil || doc.Account(kin.account) == nil {
			return nil, errors.Errorf("plan: the configuration has no pipeline %q or no client account %q", kin.pipeline, kin.account)
		}
		plr.total += kin.weight
	}
	var begin time.Duration
	for _, pha := range phases {
		plr.addPhase(begin, pha)
		begin += pha.length
	}
	plr.addFixedCounts(begin)
	return plr.pln, nil
}

// addFixedCounts adds the requests of kinds with a fixed count.
func (plr *planner) addFixedCounts(length time.Duration) {
	for i := range plr.kinds {
		kin := &plr.kinds[i]
		for num := range kin.count {
			at := length * time.Duration(num+1) / time.Duration(kin.count+1)
			plr.pln.requests = append(plr.pln.requests, plr.newRequest(at, kin))
		}
	}
	sort.SliceStable(plr.pln.requests, func(i, j int) bool { return plr.pln.requests[i].at < plr.pln.requests[j].at })
}

// addPhase adds the arrivals of one phase. A Poisson process is memoryless, so
// the last arrival of the phase before does not matter.
func (plr *planner) addPhase(begin time.Duration, pha Phase) {
	if pha.rate <= 0 {
		return
	}
	at := begin
	for {
		at += time.Duration(plr.rng.ExpFloat64() / pha.rate * float64(time.Second))
		if at >= begin+pha.length {
			return
		}
		plr.pln.requests = append(plr.pln.requests, plr.newRequest(at, plr.drawKind()))
	}
}

func (plr *planner) newRequest(at time.Duration, kin *Kind) *Request {
	pip := plr.doc.Pipeline(kin.pipeline)
	rqt := &Request{
		id:       fmt.Sprintf("r%06d", len(plr.pln.requests)),
		at:       at,
		kind:     kin,
		deadline: pip.Deadline(),
		stream:   plr.rng.Float64() < kin.stream,
	}
	text := plr.prefix(kin) + rqt.id + " " + kin.word + " " + plr.words(kin.uniqueBytes)
	raw, err := json.Marshal(text)
	if err != nil {
		// A string can always be encoded.
		panic(err)
	}
	rqt.body = raw
	rqt.want = back.ExpectedAnswer(pip, raw)
	return rqt
}

func (plr *planner) drawKind() *Kind {
	draw := plr.rng.Float64() * plr.total
	for i := range plr.kinds {
		draw -= plr.kinds[i].weight
		if draw < 0 {
			return &plr.kinds[i]
		}
	}
	return &plr.kinds[len(plr.kinds)-1]
}

// prefix returns one of the kind's prompt prefixes. Kinds of the same pipeline
// and client account share them, as the prompts of one account do.
func (plr *planner) prefix(kin *Kind) string {
	idx := 0
	if plr.rng.Float64() >= kin.firstPrefixShare {
		idx = plr.rng.IntN(kin.prefixes)
	}
	key := fmt.Sprintf("%s %s %d", kin.account, kin.pipeline, idx)
	if _, made := plr.prefixTexts[key]; !made {
		plr.prefixTexts[key] = key + " " + plr.words(kin.prefixBytes)
	}
	return plr.prefixTexts[key]
}

var vocabulary = strings.Fields("the role of a branch parent class term audition ward slot seat plan brief fee on for with next Monday script voice drama water crew hall list")

func (plr *planner) words(length int) string {
	var buf strings.Builder
	for buf.Len() < length {
		buf.WriteString(vocabulary[plr.rng.IntN(len(vocabulary))])
		buf.WriteByte(' ')
	}
	return buf.String()
}
