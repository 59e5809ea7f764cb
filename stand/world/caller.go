package world

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/result"
	"lovagestream/io/front"
	"lovagestream/io/group"
	"lovagestream/stand/audit"
	"lovagestream/stand/back"
)

// CallerRequest is one caller's request.
type CallerRequest struct {
	id       string
	entry    string
	pipeline string
	subject  string
	account  string
	key      string
	stream   bool
	deadline time.Duration
	word     string
}

// NewCallerRequest returns a request to an entry instance, under the client
// account "branch", with a deadline of 8 seconds and a subject of its own.
func NewCallerRequest(id, entry, pipeline string) CallerRequest {
	return CallerRequest{id: id, entry: entry, pipeline: pipeline, subject: "subj-" + id, account: "branch", deadline: 8 * time.Second}
}

// WithSubject makes it a retry of the request with that subject.
func (req CallerRequest) WithSubject(subject string) CallerRequest {
	req.subject = subject
	return req
}

// WithAccount sets the client account.
func (req CallerRequest) WithAccount(account string) CallerRequest {
	req.account = account
	return req
}

// WithKey sets the idempotency key.
func (req CallerRequest) WithKey(key string) CallerRequest {
	req.key = key
	return req
}

// WithStream sets whether the answer is requested as server-sent events.
func (req CallerRequest) WithStream(stream bool) CallerRequest {
	req.stream = stream
	return req
}

// WithDeadline sets the deadline.
func (req CallerRequest) WithDeadline(deadline time.Duration) CallerRequest {
	req.deadline = deadline
	return req
}

// WithWord adds a word to the body, such as a backend server's crash word.
func (req CallerRequest) WithWord(word string) CallerRequest {
	req.word = word
	return req
}

// body returns the request's body, which is the same in its retries.
func (req CallerRequest) body() []byte {
	return fmt.Appendf(nil, `{"subject":%q,"text":"please %s"}`, req.subject, req.word)
}

// CallerResponse is an answer as its caller understood it. The outcome is empty if
// the connection ended before any answer.
type CallerResponse struct {
	outcome    result.Outcome
	reason     string
	status     int
	retryAfter string
	complete   bool
	text       string
	err        error
}

// Outcome returns the outcome that the answer states.
func (rsp CallerResponse) Outcome() result.Outcome { return rsp.outcome }

// Reason returns the reason of a refusal.
func (rsp CallerResponse) Reason() string { return rsp.reason }

// RetryAfter returns the value of the Retry-After header.
func (rsp CallerResponse) RetryAfter() string { return rsp.retryAfter }

// String formats all of it, with the body truncated.
func (rsp CallerResponse) String() string {
	return fmt.Sprintf("outcome %q, reason %q, status %d, whole %t, error %v, body %.300s", rsp.outcome, rsp.reason, rsp.status, rsp.complete, rsp.err, rsp.text)
}

// call is a request that was sent; done is closed when response is set.
type call struct {
	entry    string
	sent     audit.Request
	response CallerResponse
	done     chan struct{}
}

// callerGrace is how long a caller waits for the answer after its deadline.
const callerGrace = 15 * time.Second

// Send starts a request in the background, on a goroutine of the group.
func (dep *Deployment) Send(grp *group.Group, req CallerRequest) error {
	ins, err := dep.Instance(req.entry)
	if err != nil {
		return err
	}
	cal := &call{entry: req.entry, done: make(chan struct{}), sent: audit.NewRequest(req.id, req.pipeline, req.subject, dep.expected(req), req.deadline)}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	if dep.calls[req.id] != nil {
		return errors.Errorf("request %s was sent before", req.id)
	}
	dep.calls[req.id] = cal
	grp.Go(func(context.Context) error {
		began := time.Now()
		rsp := req.do(ins.callerAddr)
		dep.mu.Lock()
		defer dep.mu.Unlock()
		cal.response = rsp
		cal.sent = cal.sent.WithAnswer(rsp.outcome, rsp.complete, rsp.text, began, time.Since(began))
		close(cal.done)
		return nil
	})
	return nil
}

// expected returns the only correct answer to a request.
func (dep *Deployment) expected(req CallerRequest) string {
	pip := dep.doc.Pipeline(req.pipeline)
	if pip == nil {
		return ""
	}
	return string(back.ExpectedAnswer(pip, req.body()))
}

// Answer waits for a request's end.
func (dep *Deployment) Answer(id string) (CallerResponse, error) {
	dep.mu.Lock()
	cal := dep.calls[id]
	dep.mu.Unlock()
	if cal == nil {
		return CallerResponse{}, errors.Errorf("request %s was never sent", id)
	}
	select {
	case <-cal.done:
	case <-time.After(2 * StateTimeout):
		return CallerResponse{}, errors.Errorf("request %s has not ended", id)
	}
	return cal.response, nil
}

// SentIDs returns the IDs of the sent requests that begin with a prefix.
func (dep *Deployment) SentIDs(prefix string) []string {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	var ids []string
	for id := range dep.calls {
		if strings.HasPrefix(id, prefix) {
			ids = append(ids, id)
		}
	}
	return ids
}

// CountRuns returns how often a stage started to run for a subject, or for all
// subjects with "*".
func (dep *Deployment) CountRuns(stage, subject string) (int, error) {
	rans, err := dep.ReadJournals()
	if err != nil {
		return 0, err
	}
	dep.mu.Lock()
	defer dep.mu.Unlock()
	num := 0
	for _, ran := range rans {
		cal := dep.calls[ran.RequestID()]
		if ran.Stage() == stage && (subject == "*" || cal != nil && cal.sent.Subject() == subject) {
			num++
		}
	}
	return num, nil
}

// maxJournalLag bounds how long after a reply its run may be missing from the
// journal.
const maxJournalLag = 10 * time.Second

// Audit waits for all answers and checks them against the journals. A server
// records the end of a run after it sent the reply's last byte, so a run without
// its end is read again until maxJournalLag has passed before it counts as lost.
func (dep *Deployment) Audit() (audit.Report, error) {
	for _, id := range dep.SentIDs("") {
		if _, err := dep.Answer(id); err != nil {
			return audit.Report{}, err
		}
	}
	for end := time.Now().Add(maxJournalLag); ; time.Sleep(50 * time.Millisecond) {
		rans, err := dep.ReadJournals()
		if err != nil {
			return audit.Report{}, err
		}
		rep := audit.Check(dep.doc, dep.sentRequests(), rans)
		if rep.Count(audit.Lost) == 0 || time.Now().After(end) {
			return dep.auditRevisions(rep)
		}
	}
}

func (dep *Deployment) sentRequests() []audit.Request {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	sents := make([]audit.Request, 0, len(dep.calls))
	for _, cal := range dep.calls {
		sents = append(sents, cal.sent)
	}
	return sents
}

// IssueKey requests an idempotency key from an entry instance.
func (dep *Deployment) IssueKey(entry, account string) (string, error) {
	ins, err := dep.Instance(entry)
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+ins.callerAddr+"/v1/idempotency-keys", strings.NewReader(`{"count":1}`))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+account+"-token")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	var bod struct {
		Keys []string `json:"keys"`
	}
	if err := json.NewDecoder(res.Body).Decode(&bod); err != nil || len(bod.Keys) != 1 {
		return "", errors.Errorf("get an idempotency key from %s: %s (%v)", entry, res.Status, err)
	}
	return bod.Keys[0], nil
}

func (req CallerRequest) do(address string) CallerResponse {
	ctx, cancel := context.WithTimeout(context.Background(), req.deadline+callerGrace)
	defer cancel()
	url := "http://" + address + "/v1/pipelines/" + req.pipeline
	hrq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.body()))
	if err != nil {
		return CallerResponse{err: err}
	}
	hrq.Header.Set("Authorization", "Bearer "+req.account+"-token")
	hrq.Header.Set(front.HeaderRequestID, req.id)
	hrq.Header.Set(front.HeaderDeadline, req.deadline.String())
	if req.key != "" {
		hrq.Header.Set(front.HeaderIdempotencyKey, req.key)
	}
	if req.stream {
		hrq.Header.Set("Accept", "text/event-stream")
	}
	hcl := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := hcl.Do(hrq)
	if err != nil {
		return CallerResponse{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return readAnswer(res, raw, err)
}
