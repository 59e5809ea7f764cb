package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"lovagestream/core/result"
	"lovagestream/io/front"
	"lovagestream/io/group"
)

// patienceDeadlines is how long a caller waits for an answer, in multiples of its
// deadline. It is more than 1 to observe late answers.
const patienceDeadlines = 2

// maxAnswer is the largest answer that is read, in bytes.
const maxAnswer = 16 << 20

// Balancer distributes callers' requests over entry instances.
type Balancer struct {
	// targets holds addresses; the slice is replaced, never changed.
	targets atomic.Pointer[[]string]
	next    atomic.Uint64
}

// NewBalancer returns a round-robin balancer over addresses.
func NewBalancer(targets ...string) *Balancer {
	bal := &Balancer{}
	bal.SetTargets(targets...)
	return bal
}

// SetTargets replaces the addresses.
func (bal *Balancer) SetTargets(targets ...string) { bal.targets.Store(&targets) }

func (bal *Balancer) pick() string {
	targets := *bal.targets.Load()
	return targets[bal.next.Add(1)%uint64(len(targets))]
}

// Sender sends plans.
type Sender struct {
	bal *Balancer
	hc  *http.Client
	rec *recorder
}

// Send sends a plan's requests at their times and returns their outcomes. It ends
// early only if the context does.
func Send(ctx context.Context, pln *Plan, bal *Balancer) (*Result, error) {
	tra := &http.Transport{MaxIdleConnsPerHost: 1 << 12, DisableCompression: true}
	defer tra.CloseIdleConnections()
	snd := &Sender{bal: bal, hc: &http.Client{Transport: tra}, rec: newRecorder()}
	grp := group.New(ctx)
	start := time.Now()
	for _, rqt := range pln.requests {
		if wait := time.Until(start.Add(rqt.at)); wait > 0 {
			if sleep(ctx, wait) != nil {
				break
			}
		}
		grp.Go(func(gctx context.Context) error {
			snd.sendWithRetries(gctx, rqt, start.Add(rqt.at))
			return nil
		})
	}
	err := grp.Wait()
	snd.rec.res.took = time.Since(start)
	if err == nil {
		err = ctx.Err()
	}
	return snd.rec.res, errors.Wrap(err, "send plan")
}

func sleep(ctx context.Context, wait time.Duration) error {
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}

// sendWithRetries sends one request and retries it as its kind says.
func (snd *Sender) sendWithRetries(ctx context.Context, rqt *Request, due time.Time) {
	for num := 0; ; num++ {
		id := rqt.id
		if num > 0 {
			id = fmt.Sprintf("%s-%d", rqt.id, num)
		}
		ans := snd.attempt(ctx, rqt, id, due)
		if ans.outcome == Complete || num >= rqt.kind.retries || ctx.Err() != nil {
			snd.rec.record(rqt, id, due, ans)
			return
		}
		due = time.Now()
	}
}

// answer is the outcome of one attempt.
type answer struct {
	outcome Outcome
	reason  string
	at      time.Time
	// first and gaps are set for streams with tokens: the time of the first token
	// and the times between tokens.
	first time.Time
	gaps  []time.Duration
	// problem describes what was wrong with a Wrong answer.
	problem string
}

func (snd *Sender) attempt(ctx context.Context, rqt *Request, id string, due time.Time) answer {
	rctx, cancel := context.WithDeadline(ctx, due.Add(patienceDeadlines*rqt.deadline))
	defer cancel()
	req, err := snd.request(rctx, rqt, id, due)
	if err != nil {
		return answer{outcome: Broken, reason: "request", at: time.Now()}
	}
	res, err := snd.hc.Do(req)
	if err != nil {
		return answer{outcome: connOutcome(rctx), reason: "connection", at: time.Now()}
	}
	defer func() { _ = res.Body.Close() }()
	chk := &checker{rqt: rqt, id: id, ctx: rctx}
	switch {
	case res.StatusCode != http.StatusOK:
		return chk.problem(res)
	case rqt.stream:
		return chk.stream(res)
	}
	return chk.plainAnswer(res)
}

// connOutcome distinguishes a caller that gave up waiting from a connection that
// ended.
func connOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return TimedOut
	}
	return Broken
}

func (snd *Sender) request(ctx context.Context, rqt *Request, id string, due time.Time) (*http.Request, error) {
	url := "http://" + snd.bal.pick() + strings.Replace(front.PathPipelines, "{pipeline}", rqt.kind.pipeline, 1)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(rqt.body))
	if err != nil {
		return nil, err
	}
	// The deadline counts from the planned time of sending.
	left := time.Until(due.Add(rqt.deadline))
	req.Header.Set(front.HeaderDeadline, left.Round(time.Microsecond).String())
	req.Header.Set(front.HeaderRequestID, id)
	req.Header.Set("Authorization", "Bearer "+rqt.kind.account+"-token")
	if rqt.stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

// checker reads one answer and checks that it is complete and the request's own.
type checker struct {
	rqt *Request
	id  string
	ctx context.Context
}

func (chk *checker) wrong(fault string) answer {
	return answer{outcome: Wrong, at: time.Now(), problem: chk.id + ": " + fault}
}

// problemBody holds the members read of an error.
type problemBody struct {
	Outcome result.Outcome `json:"outcome"`
	Reason  string         `json:"reason"`
	Request string         `json:"request-id"`
}

func (chk *checker) problem(res *http.Response) answer {
	var bod problemBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswer)).Decode(&bod); err != nil {
		return answer{outcome: connOutcome(chk.ctx), reason: "problem", at: time.Now()}
	}
	return chk.refused(bod)
}

func (chk *checker) refused(bod problemBody) answer {
	if bod.Request != chk.id {
		return chk.wrong("problem of request " + bod.Request)
	}
	outcome := Unknown
	if bod.Outcome == result.NotRun {
		outcome = NotRun
	}
	return answer{outcome: outcome, reason: bod.Reason, at: time.Now()}
}

// answerBody holds the members read of an answer that is not a stream.
type answerBody struct {
	Request string          `json:"request-id"`
	Outcome result.Outcome  `json:"outcome"`
	Output  json.RawMessage `json:"output"`
}

func (chk *checker) plainAnswer(res *http.Response) answer {
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return answer{outcome: connOutcome(chk.ctx), reason: "cut", at: time.Now()}
	}
	var bod answerBody
	if err := json.Unmarshal(raw, &bod); err != nil {
		return answer{outcome: Broken, reason: "cut", at: time.Now()}
	}
	switch {
	case bod.Request != chk.id:
		return chk.wrong("answer of request " + bod.Request)
	case bod.Outcome != result.Complete:
		return chk.wrong("status 200 with outcome " + string(bod.Outcome))
	case !bytes.Equal(bod.Output, chk.rqt.want):
		return chk.wrong("another output than its own")
	}
	return answer{outcome: Complete, at: time.Now()}
}

// tokenBody is the data of a token event.
type tokenBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// endBody is the data of the end event.
type endBody struct {
	Request string          `json:"request-id"`
	Tokens  int             `json:"tokens"`
	Length  int             `json:"length"`
	Digest  string          `json:"sha256"`
	Output  json.RawMessage `json:"output"`
}

// stream reads events up to the end event. A stream without one is incomplete.
func (chk *checker) stream(res *http.Response) answer {
	var ans answer
	var text strings.Builder
	next, last := 0, time.Time{}
	for evt, err := range sse.Read(res.Body, &sse.ReadConfig{MaxEventSize: maxAnswer}) {
		if err != nil {
			break
		}
		now := time.Now()
		switch evt.Type {
		case "token":
			var tok tokenBody
			if json.Unmarshal([]byte(evt.Data), &tok) != nil || tok.Offset != next {
				return chk.wrong(fmt.Sprintf("token event %q, want offset %d", evt.Data, next))
			}
			if next == 0 {
				ans.first = now
			} else {
				ans.gaps = append(ans.gaps, now.Sub(last))
			}
			next, last = next+1, now
			text.WriteString(tok.Text)
		case "end":
			return chk.ended(ans, evt.Data, text.String())
		case "problem":
			var bod problemBody
			if json.Unmarshal([]byte(evt.Data), &bod) != nil {
				return chk.wrong("malformed problem event")
			}
			return chk.refused(bod)
		}
	}
	return answer{outcome: connOutcome(chk.ctx), reason: "cut", at: time.Now()}
}

func (chk *checker) ended(ans answer, data, text string) answer {
	var end endBody
	if json.Unmarshal([]byte(data), &end) != nil {
		return chk.wrong("malformed end event")
	}
	got := end.Output
	if text != "" {
		got, _ = json.Marshal(text)
	}
	switch {
	case end.Request != chk.id:
		return chk.wrong("stream of request " + end.Request)
	case end.Length != len(text) || end.Digest != sha(text):
		return chk.wrong("length or digest of the end event does not match the tokens")
	case !bytes.Equal(got, chk.rqt.want):
		return chk.wrong("another output than its own")
	}
	ans.outcome, ans.at = Complete, time.Now()
	return ans
}

// sha returns the SHA-256 of a text in hexadecimal.
func sha(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
