package front

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"lovagestream/core/keys"
	"lovagestream/core/result"
	"lovagestream/io/claim"
	"lovagestream/io/frame"
	"lovagestream/io/runner"
	"lovagestream/io/stage"
	"lovagestream/io/trace"
)

// PathKeys is the path at which client accounts request idempotency keys.
const PathKeys = "/v1/idempotency-keys"

// HeaderReplayed is "true" in a response with the outcome of an earlier run.
const HeaderReplayed = "Idempotency-Replayed"

// issueTimeout bounds the issuing of one batch of keys.
const issueTimeout = 2 * time.Second

// issueRequest is the body of a request for keys; without one, one key is issued.
type issueRequest struct {
	Count int `json:"count"`
}

// issueBody is a batch of keys.
type issueBody struct {
	Keys []string `json:"keys"`
	// Lifetime is in seconds.
	Lifetime int `json:"lifetime"`
}

// issueKeys issues a batch of keys to a client account. Callers may repeat it
// freely, since unused keys cost nothing.
func (srv *Server) issueKeys(wri http.ResponseWriter, hrq *http.Request) {
	srv.setReadDeadline(wri, srv.clk.Now())
	id, rfl := srv.requestID(hrq)
	if rfl != nil {
		writeProblem(wri, id, rfl)
		return
	}
	batch, rfl := srv.issueBatch(wri, hrq)
	if rfl != nil {
		writeProblem(wri, id, rfl)
		return
	}
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/json")
	hdr.Set("Cache-Control", "no-store")
	hdr.Set(HeaderRequestID, id)
	_ = json.NewEncoder(wri).Encode(issueBody{Keys: batch, Lifetime: int(srv.clm.Lifetime().Seconds())})
}

func (srv *Server) issueBatch(wri http.ResponseWriter, hrq *http.Request) ([]string, *result.Refusal) {
	doc := srv.vws.View().Config()
	if doc == nil {
		return nil, refuse(result.NotReady, time.Second, "no configuration is in force yet")
	}
	acc := srv.acs.find(doc, hrq)
	if acc == nil {
		return nil, refuse(result.Unauthorized, 0, "Authorization: want the bearer token of a client account")
	}
	count, rfl := srv.readCount(wri, hrq)
	if rfl != nil {
		return nil, rfl
	}
	ctx, cancel := context.WithTimeout(hrq.Context(), issueTimeout)
	defer cancel()
	batch, err := srv.clm.Issue(ctx, acc.Name(), count)
	if err != nil {
		return nil, refuse(result.Overloaded, time.Second, "no keys could be made in time")
	}
	return batch, nil
}

func (srv *Server) readCount(wri http.ResponseWriter, hrq *http.Request) (int, *result.Refusal) {
	const maxIssueBody = 1 << 10
	req := issueRequest{Count: 1}
	raw, err := frame.ReadBody(wri, hrq, maxIssueBody, srv.clk.Now().Add(srv.opt.writeTimeout), srv.clk)
	if err != nil {
		return 0, refuse(result.BadRequest, 0, "body: could not be read to its end")
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if len(raw) > 0 {
		err = dec.Decode(&req)
	}
	if err != nil || req.Count < 1 || req.Count > keys.MaxBatch {
		return 0, refuse(result.BadRequest, 0, fmt.Sprintf("body: want {\"count\": N} with N from 1 to %d", keys.MaxBatch))
	}
	return req.Count, nil
}

// unknownIfKeyed changes the outcome of a refusal from not-run to unknown if the
// request has an idempotency key that was not looked up yet: it may be a resend
// of a request that ran before, here or at another entry instance.
func (srv *Server) unknownIfKeyed(hrq *http.Request, rfl *result.Refusal) *result.Refusal {
	if hrq.Header.Get(HeaderIdempotencyKey) == "" {
		return rfl
	}
	if doc := srv.vws.View().Config(); doc != nil {
		if pip := doc.Pipeline(mux.Vars(hrq)["pipeline"]); pip != nil && pip.Repeatable() {
			return rfl
		}
	}
	return rfl.WithUnknownOutcome()
}

// serveKeyed serves a request with a stage that must not be repeated. Such a
// request runs only under a claim on its idempotency key.
func (srv *Server) serveKeyed(wri http.ResponseWriter, hrq *http.Request, req *runner.Request, arrived time.Time) {
	text := hrq.Header.Get(HeaderIdempotencyKey)
	if text == "" {
		detail := fmt.Sprintf("pipeline %s needs a key from POST %s in the header %s", req.Pipeline().Name(), PathKeys, HeaderIdempotencyKey)
		writeProblem(wri, req.ID(), refuse(result.KeyRequired, 0, detail))
		return
	}
	krq := claim.NewKeyedRequest(text, req.Account().Name(), requestDigest(req), arrived, req.Deadline())
	pctx, spn := trace.Start(hrq.Context(), "peer")
	ver := srv.clm.Claim(pctx, krq)
	spn.End(nil)
	switch {
	case ver.Claim() != nil:
		srv.serveClaimed(wri, hrq, req, ver.Claim())
	case ver.RunOutcome() != nil:
		srv.replay(wri, hrq, req.ID(), ver.RunOutcome())
	default:
		dny := ver.Denial()
		writeProblem(wri, req.ID(), result.RelayedRefusal(dny.Outcome(), dny.Reason(), dny.RetryAfter(), dny.Detail(), nil))
	}
}

// requestDigest hashes a request's pipeline and content, regardless of white
// space in the JSON.
func requestDigest(req *runner.Request) keys.Digest {
	sum := sha256.New()
	sum.Write([]byte(req.Pipeline().Name()))
	sum.Write([]byte{0})
	var buf bytes.Buffer
	// Can't fail: the body was checked to be valid JSON.
	_ = json.Compact(&buf, req.Body())
	sum.Write(buf.Bytes())
	return keys.Digest(sum.Sum(nil)[:len(keys.Digest{})])
}

// serveClaimed runs the request and writes its response. The claim is ended
// before the response is written, so that a resend which follows the response
// finds the outcome.
func (srv *Server) serveClaimed(wri http.ResponseWriter, hrq *http.Request, req *runner.Request, clm *keys.Claim) {
	unfinished := true
	defer func() {
		if unfinished {
			// Reached only by a panic; which calls were sent is unknown.
			clm.Commit()
			srv.clm.End(clm.Refuse(result.UnknownRefusal(result.Internal, "the run broke off")))
		}
	}()
	str := srv.newStreamer(wri, req.ID())
	defer str.close()
	ans, rfl := srv.runClaimed(hrq, req, clm, str)
	unfinished = false
	if rfl != nil {
		srv.clm.End(clm.Refuse(rfl))
		str.writeRefusal(rfl)
		return
	}
	bod := newAnswerBody(req.ID(), ans)
	// Can't fail: the output was checked to be valid JSON when it was received.
	raw, _ := json.Marshal(bod)
	srv.clm.End(clm.Complete(raw))
	if wantsStream(hrq) {
		str.writeEnd(bod)
		return
	}
	srv.writeAnswer(wri, req.ID(), bod)
}

// runClaimed admits the request and runs it to its end or its deadline, even if
// the caller disconnects: calls that were sent can't be undone, and a caller
// that sends the request again needs its outcome.
func (srv *Server) runClaimed(hrq *http.Request, req *runner.Request, clm *keys.Claim, str *streamer) (*runner.Answer, *result.Refusal) {
	ans, rfl := srv.runOnce(hrq, req, clm, str)
	if rfl != nil && clm.EarlierCalls() {
		rfl = rfl.WithUnknownOutcome()
	}
	return ans, rfl
}

func (srv *Server) runOnce(hrq *http.Request, req *runner.Request, clm *keys.Claim, str *streamer) (*runner.Answer, *result.Refusal) {
	if hrq.Context().Err() != nil {
		return nil, refuse(result.CallerLeft, 0, "the caller left")
	}
	per, rfl := srv.acquirePermit(req)
	if rfl != nil {
		return nil, rfl
	}
	defer func() {
		per.SetTokens(req.Tokens())
		per.Release()
	}()
	if wantsStream(hrq) {
		req = req.WithSink(ignoreSinkErrors(str.writeToken))
	}
	return srv.rnr.Run(context.WithoutCancel(hrq.Context()), req.WithGuard(clm))
}

// ignoreSinkErrors wraps a sink so that a run continues after its caller stopped
// reading tokens.
func ignoreSinkErrors(snk stage.Sink) stage.Sink {
	failed := false
	return func(offset int, text string) error {
		if !failed {
			failed = snk(offset, text) != nil
		}
		return nil
	}
}

// replay answers a resend with the outcome of the first run. The request ID in
// the body is the first run's.
func (srv *Server) replay(wri http.ResponseWriter, hrq *http.Request, id string, end *keys.RunOutcome) {
	wri.Header().Set(HeaderReplayed, strconv.FormatBool(true))
	if end.Answer() == nil {
		writeProblem(wri, id, result.RelayedRefusal(result.Unknown, end.Reason(), 0, end.Detail(), end.Stages()))
		return
	}
	var bod answerBody
	if err := json.Unmarshal(end.Answer(), &bod); err != nil {
		writeProblem(wri, id, result.UnknownRefusal(result.KeyLost, "the kept answer can't be read"))
		return
	}
	if !wantsStream(hrq) {
		srv.writeAnswer(wri, id, bod)
		return
	}
	str := srv.newStreamer(wri, id)
	defer str.close()
	str.writeEnd(bod)
}
