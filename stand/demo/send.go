package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"lovagestream/core/result"
	"lovagestream/io/front"
)

// CallerRequest is a request of a caller.
type CallerRequest struct {
	// id and body differ from request to request.
	id       string
	pipeline string
	token    string
	body     string
	stream   bool
	deadline string
	key      string
}

// NewCallerRequest returns a request for a complete (not streamed) answer, sent with a
// bearer token.
func NewCallerRequest(id, pipeline, token, body string) CallerRequest {
	return CallerRequest{id: id, pipeline: pipeline, token: token, body: body}
}

// WithStream requests a streamed answer.
func (crq CallerRequest) WithStream() CallerRequest {
	crq.stream = true
	return crq
}

// WithDeadline sets the value of the caller's deadline header.
func (crq CallerRequest) WithDeadline(deadline string) CallerRequest {
	crq.deadline = deadline
	return crq
}

// WithKey sets the idempotency key.
func (crq CallerRequest) WithKey(key string) CallerRequest {
	crq.key = key
	return crq
}

// Reply is the response to a request.
type Reply struct {
	status   int
	outcome  result.Outcome
	reason   result.Reason
	output   string
	replayed bool
}

// Outcome returns the outcome that the caller was told, Unknown for a stream
// without an ending.
func (rep Reply) Outcome() result.Outcome { return rep.outcome }

// Reason returns why the answer is not complete.
func (rep Reply) Reason() result.Reason { return rep.reason }

// Output returns the answer as JSON.
func (rep Reply) Output() string { return rep.output }

// Send sends a request and reads the response to its end. After an error the
// outcome is unknown to the caller.
func (dep *Deployment) Send(ctx context.Context, hcl *http.Client, crq CallerRequest) (Reply, error) {
	url := "http://" + dep.CallerAddr() + "/v1/pipelines/" + crq.pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(crq.body))
	if err != nil {
		return Reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+crq.token)
	req.Header.Set(front.HeaderRequestID, crq.id)
	for key, val := range map[string]string{front.HeaderDeadline: crq.deadline, front.HeaderIdempotencyKey: crq.key} {
		if val != "" {
			req.Header.Set(key, val)
		}
	}
	if crq.stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	res, err := hcl.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	rep := Reply{status: res.StatusCode, replayed: res.Header.Get(front.HeaderReplayed) != ""}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return rep, rep.readStream(res.Body)
	}
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return rep, err
	}
	return rep, rep.readBody(raw)
}

// endBody holds the fields of the JSON that ends a response: the body, or the
// end or problem event of a stream.
type endBody struct {
	Request string          `json:"request-id"`
	Outcome result.Outcome  `json:"outcome"`
	Reason  result.Reason   `json:"reason"`
	Output  json.RawMessage `json:"output"`
	Digest  string          `json:"sha256"`
}

func (rep *Reply) readBody(raw []byte) error {
	var end endBody
	if err := json.Unmarshal(raw, &end); err != nil {
		return errors.Wrap(err, "answer")
	}
	rep.outcome, rep.reason, rep.output = end.Outcome, end.Reason, string(end.Output)
	return nil
}

// readStream concatenates the tokens and checks them against the end event. The
// outcome of a stream without one is Unknown.
func (rep *Reply) readStream(rdr io.Reader) error {
	rep.outcome = result.Unknown
	var text strings.Builder
	for ev, err := range sse.Read(rdr, nil) {
		if err != nil {
			return err
		}
		switch ev.Type {
		case "token":
			var tok struct{ Text string }
			if err := json.Unmarshal([]byte(ev.Data), &tok); err != nil {
				return err
			}
			text.WriteString(tok.Text)
		case "problem":
			return rep.readBody([]byte(ev.Data))
		case "end":
			return rep.readEnd([]byte(ev.Data), text.String())
		}
	}
	return nil
}

func (rep *Reply) readEnd(raw []byte, text string) error {
	if err := rep.readBody(raw); err != nil || rep.output != "" {
		return err
	}
	var end endBody
	if err := json.Unmarshal(raw, &end); err != nil {
		return err
	}
	sum := sha256.Sum256([]byte(text))
	if end.Digest != hex.EncodeToString(sum[:]) {
		return errors.New("stream: digest in the end event does not match the tokens")
	}
	out, err := json.Marshal(text)
	rep.output = string(out)
	return err
}

// IssueKey requests one idempotency key from the entry instance.
func (dep *Deployment) IssueKey(ctx context.Context, hcl *http.Client, token string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dep.CallerAddr()+front.PathKeys, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	res, err := hcl.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	var bod struct{ Keys []string }
	if err := json.NewDecoder(res.Body).Decode(&bod); err != nil || len(bod.Keys) != 1 {
		return "", errors.Errorf("request idempotency key: no key in the response, status %d", res.StatusCode)
	}
	return bod.Keys[0], nil
}
