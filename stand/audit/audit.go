// Package audit compares the callers' records of a test run with the journals of
// the backend servers. It finds requests that were lost, run twice, answered to the
// wrong caller, falsely reported as not run, or late. It works on records only and
// sends nothing.
package audit

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/result"
)

// Request is a request and its result as seen by the caller.
type Request struct {
	id       string
	pipeline string
	// subject is shared by a request and its retries.
	subject string
	// expected is the only correct answer to the request.
	expected string
	// outcome is empty if the caller got no answer.
	outcome result.Outcome
	// complete is false for a stream without an end event.
	complete bool
	answer   string
	began    time.Time
	took     time.Duration
	limit    time.Duration
}

// NewRequest returns a request without an answer. The only correct answer is expected;
// limit is the deadline that the caller set, counted from the send.
func NewRequest(id, pipeline, subject, expected string, limit time.Duration) Request {
	return Request{id: id, pipeline: pipeline, subject: subject, expected: expected, limit: limit}
}

// WithAnswer sets the result, the time when the request was sent and how long the
// answer took.
func (req Request) WithAnswer(outcome result.Outcome, complete bool, answer string, began time.Time, took time.Duration) Request {
	req.outcome, req.complete, req.answer, req.began, req.took = outcome, complete, answer, began, took
	return req
}

// ID returns the request's ID.
func (req Request) ID() string { return req.id }

// Subject returns the key that a request and its retries share.
func (req Request) Subject() string { return req.subject }

// Outcome returns the outcome reported to the caller, or "" without an answer.
func (req Request) Outcome() result.Outcome { return req.outcome }

// StageRun is a stage call that a backend server started, from its journal.
type StageRun struct {
	request  string
	stage    string
	began    time.Time
	complete bool
}

// NewStageRun returns the run of a call ID of the form REQUEST/STAGE/..., which began at
// a time; complete says whether it ran to its end.
func NewStageRun(call string, began time.Time, complete bool) StageRun {
	parts := strings.Split(call, "/")
	if len(parts) < 2 {
		return StageRun{request: call, began: began, complete: complete}
	}
	return StageRun{request: parts[0], stage: parts[1], began: began, complete: complete}
}

// RequestID returns the ID of the request.
func (run StageRun) RequestID() string { return run.request }

// Stage returns the name of the stage.
func (run StageRun) Stage() string { return run.stage }

// Kind is the kind of a violated guarantee.
type Kind string

// Kinds of violations.
const (
	Lost        Kind = "lost"
	Doubled     Kind = "doubled"
	WrongCaller Kind = "wrong-caller"
	FalseNotRun Kind = "false-not-run"
	Late        Kind = "late"
	// Reverted means that an entry instance went back to an older configuration.
	Reverted Kind = "reverted"
)

// Finding is one violated guarantee.
type Finding struct {
	kind    Kind
	request string
	detail  string
}

// Kind returns the kind of the violation.
func (fin Finding) Kind() Kind { return fin.kind }

// Subject returns the ID of the request, or of the entry instance for Reverted.
func (fin Finding) Subject() string { return fin.request }

// String returns kind, request and detail in one line.
func (fin Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", fin.kind, fin.request, fin.detail)
}

// Report has the findings and the counts of requests by outcome.
type Report struct {
	findings []Finding
	sent     int
	complete int
	notRun   int
	unknown  int
}

// Findings returns the violated guarantees.
func (rep Report) Findings() []Finding { return rep.findings }

// Count returns the number of findings of a kind.
func (rep Report) Count(kind Kind) int {
	num := 0
	for _, fin := range rep.findings {
		if fin.kind == kind {
			num++
		}
	}
	return num
}

// Attainment returns the share of requests with a complete answer in time, from 0
// to 1.
func (rep Report) Attainment() float64 {
	if rep.sent == 0 {
		return 0
	}
	return float64(rep.complete-rep.Count(Late)) / float64(rep.sent)
}

// String returns a summary in one line.
func (rep Report) String() string {
	return fmt.Sprintf("sent %d, complete %d, not-run %d, unknown %d; lost %d, doubled %d, wrong-caller %d, false-not-run %d, late %d, reverted %d",
		rep.sent, rep.complete, rep.notRun, rep.unknown,
		rep.Count(Lost), rep.Count(Doubled), rep.Count(WrongCaller), rep.Count(FalseNotRun), rep.Count(Late), rep.Count(Reverted))
}

// CheckRevisions checks that the configuration revisions that an entry instance accepted
// rise, and returns the report with a finding for each that does not.
func (rep Report) CheckRevisions(entry string, revisions []uint64) Report {
	for i := 1; i < len(revisions); i++ {
		if revisions[i] <= revisions[i-1] {
			detail := fmt.Sprintf("accepted revision %d after %d", revisions[i], revisions[i-1])
			rep.findings = append(rep.findings, Finding{kind: Reverted, request: entry, detail: detail})
		}
	}
	return rep
}

// lateSlack allows for the delay of an answer on its way to the caller, on a
// machine that is busy with other work.
const lateSlack = 2 * time.Second

// Check compares the callers' records with the journals under a configuration.
func Check(doc *config.Document, requests []Request, runs []StageRun) Report {
	chk := &checker{doc: doc, runsByRequest: map[string][]StageRun{}, subjects: map[string]string{}, bySubject: map[string][]string{}, requestByAnswer: map[string]string{}}
	for _, run := range runs {
		chk.runsByRequest[run.request] = append(chk.runsByRequest[run.request], run)
	}
	chk.rep.sent = len(requests)
	for _, req := range requests {
		chk.subjects[req.id] = req.subject
		chk.bySubject[req.subject] = append(chk.bySubject[req.subject], req.id)
		chk.requestByAnswer[req.expected] = req.id
	}
	for _, req := range requests {
		chk.checkRequest(req)
	}
	chk.checkDoubled()
	return chk.rep
}

type checker struct {
	doc           *config.Document
	runsByRequest map[string][]StageRun
	// subjects maps a request to its subject, bySubject maps a subject to its
	// request and all retries, and requestByAnswer maps an expected answer to its
	// request.
	subjects        map[string]string
	bySubject       map[string][]string
	requestByAnswer map[string]string
	rep             Report
}

func (chk *checker) addFinding(kind Kind, request, format string, args ...any) {
	chk.rep.findings = append(chk.rep.findings, Finding{kind: kind, request: request, detail: fmt.Sprintf(format, args...)})
}

func (chk *checker) checkRequest(req Request) {
	switch req.outcome {
	case result.Complete:
		chk.rep.complete++
		chk.checkComplete(req)
	case result.NotRun:
		chk.rep.notRun++
		chk.checkNotRun(req)
	case result.Unknown:
		chk.rep.unknown++
	default:
		// A broken connection leaves the outcome unknown, which is allowed. Having
		// no answer past the deadline is not.
		if req.took > req.limit+lateSlack {
			chk.addFinding(Lost, req.id, "no answer within %s", req.took)
		}
	}
}

// checkComplete checks that the answer is complete, in time and the one expected,
// and that every stage of the pipeline ran completely.
func (chk *checker) checkComplete(req Request) {
	if !req.complete {
		chk.addFinding(Lost, req.id, "the answer has no end event")
	}
	if req.took > req.limit+lateSlack {
		chk.addFinding(Late, req.id, "%s after a deadline of %s", req.took, req.limit)
	}
	if req.answer != req.expected {
		chk.addFinding(WrongCaller, req.id, "%s", chk.describeAnswer(req))
	}
	pip := chk.doc.Pipeline(req.pipeline)
	if pip == nil {
		return
	}
	for _, stg := range pip.Stages() {
		if !chk.ranCompletely(req, stg.Name()) {
			chk.addFinding(Lost, req.id, "answered completely, but no journal has a complete run of stage %s", stg.Name())
		}
	}
}

// describeAnswer describes a wrong answer: the request it belongs to, if known.
func (chk *checker) describeAnswer(req Request) string {
	if id, known := chk.requestByAnswer[req.answer]; known {
		return fmt.Sprintf("the answer is that of request %s", id)
	}
	return fmt.Sprintf("the answer belongs to no request: got %.80q, want %.80q", req.answer, req.expected)
}

// ranCompletely reports whether a stage ran completely for a request or for any
// request of the same subject, since a retry gets the answer of the first run.
func (chk *checker) ranCompletely(req Request, stg string) bool {
	for _, id := range chk.bySubject[req.subject] {
		for _, run := range chk.runsByRequest[id] {
			if run.stage == stg && run.complete {
				return true
			}
		}
	}
	return false
}

// checkNotRun checks that no journal has a run of a request that was reported as
// not run. For a pipeline that is not repeatable, other requests of the same
// subject must not have run either by the time of the answer.
func (chk *checker) checkNotRun(req Request) {
	for _, run := range chk.runsByRequest[req.id] {
		chk.addFinding(FalseNotRun, req.id, "stage %s ran", run.stage)
	}
	pip := chk.doc.Pipeline(req.pipeline)
	if pip == nil || pip.Repeatable() {
		return
	}
	for _, id := range chk.bySubject[req.subject] {
		if id == req.id {
			continue
		}
		for _, run := range chk.runsByRequest[id] {
			if run.began.Before(req.began.Add(req.took)) {
				chk.addFinding(FalseNotRun, req.id, "stage %s ran under request %s of the same key", run.stage, id)
			}
		}
	}
}

// checkDoubled checks that each stage that is not repeatable ran at most once over
// a request and all its retries.
func (chk *checker) checkDoubled() {
	counts := map[string]int{}
	example := map[string]string{}
	for request, runs := range chk.runsByRequest {
		subject, known := chk.subjects[request]
		if !known {
			continue
		}
		for _, run := range runs {
			if !chk.repeatable(run.stage) {
				counts[subject+"/"+run.stage]++
				example[subject+"/"+run.stage] = request
			}
		}
	}
	for _, key := range sortedKeys(counts) {
		if counts[key] > 1 {
			chk.addFinding(Doubled, example[key], "%s ran %d times", key, counts[key])
		}
	}
}

func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (chk *checker) repeatable(stage string) bool {
	for _, pip := range chk.doc.Pipelines() {
		for _, stg := range pip.Stages() {
			if stg.Name() == stage && !stg.Repeatable() {
				return false
			}
		}
	}
	return true
}
