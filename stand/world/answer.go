package world

import (
	"encoding/json"
	"net/http"
	"strings"

	"lovagestream/core/result"
)

// answerBody holds the members that answers and refusals have in common.
type answerBody struct {
	Outcome result.Outcome  `json:"outcome"`
	Reason  string          `json:"reason"`
	Output  json.RawMessage `json:"output"`
}

// readAnswer parses an answer. The outcome of a truncated body, or of a stream
// without its end event, is unknown.
func readAnswer(res *http.Response, raw []byte, err error) CallerResponse {
	rsp := CallerResponse{status: res.StatusCode, text: string(raw), err: err, retryAfter: res.Header.Get("Retry-After")}
	if err != nil {
		rsp.outcome = result.Unknown
		return rsp
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return rsp.readStream()
	}
	var bod answerBody
	if err := json.Unmarshal(raw, &bod); err != nil {
		rsp.outcome, rsp.err = result.Unknown, err
		return rsp
	}
	rsp.outcome, rsp.reason, rsp.complete = bod.Outcome, bod.Reason, bod.Outcome == result.Complete
	if rsp.complete {
		rsp.text = string(bod.Output)
	}
	return rsp
}

func (rsp CallerResponse) readStream() CallerResponse {
	kind, data := lastEvent(rsp.text)
	rsp.outcome = result.Unknown
	if kind == "end" || kind == "problem" {
		var bod answerBody
		if json.Unmarshal([]byte(data), &bod) == nil {
			rsp.outcome, rsp.reason, rsp.complete = bod.Outcome, bod.Reason, kind == "end"
		}
	}
	rsp.text = streamText(rsp.text)
	return rsp
}

// lastEvent returns the type and data of a stream's last event.
func lastEvent(txt string) (string, string) {
	var kind, data string
	events := strings.Split(strings.TrimSpace(txt), "\n\n")
	for _, line := range strings.Split(events[len(events)-1], "\n") {
		if val, found := strings.CutPrefix(line, "event: "); found {
			kind = val
		}
		if val, found := strings.CutPrefix(line, "data: "); found {
			data = val
		}
	}
	return kind, data
}

// streamText returns a stream's answer: the output in its end event or, if there
// is none, the texts of its token events as one JSON string.
func streamText(txt string) string {
	var text strings.Builder
	var output json.RawMessage
	for _, line := range strings.Split(txt, "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		var bod struct {
			Text   string          `json:"text"`
			Output json.RawMessage `json:"output"`
		}
		if json.Unmarshal([]byte(data), &bod) == nil {
			text.WriteString(bod.Text)
			output = bod.Output
		}
	}
	if len(output) > 0 {
		return string(output)
	}
	raw, err := json.Marshal(text.String())
	if err != nil {
		return text.String()
	}
	return string(raw)
}
