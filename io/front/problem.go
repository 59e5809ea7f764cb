package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"lovagestream/core/result"
)

// problem is the body of every error response: problem details (RFC 9457),
// extended by the outcome, which tells a client whether it may send the
// request again.
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail"`
	Outcome result.Outcome `json:"outcome"`
	Reason  result.Reason  `json:"reason"`
	Request string         `json:"request-id"`
	// Stages lists those that ran or may have run; empty if the outcome is not-run.
	Stages []string `json:"stages,omitempty"`
	// RetryAfter is in seconds; 0 if a retry is of no use.
	RetryAfter int `json:"retry-after,omitempty"`
}

// statusByReason maps each reason to the HTTP status of its error response.
var statusByReason = map[result.Reason]int{
	result.BadRequest:      http.StatusBadRequest,
	result.BodyTooLarge:    http.StatusRequestEntityTooLarge,
	result.HeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	result.NotAcceptable:   http.StatusNotAcceptable,
	result.NotJSON:         http.StatusUnsupportedMediaType,
	result.NoPath:          http.StatusNotFound,
	result.WrongMethod:     http.StatusMethodNotAllowed,
	result.Unauthorized:    http.StatusUnauthorized,
	result.NoPipeline:      http.StatusNotFound,
	result.OverContract:    http.StatusTooManyRequests,
	result.Overloaded:      http.StatusServiceUnavailable,
	result.DeadlineTooSoon: http.StatusServiceUnavailable,
	result.DeadlinePassed:  http.StatusGatewayTimeout,
	result.NoServer:        http.StatusServiceUnavailable,
	result.NotReady:        http.StatusServiceUnavailable,
	result.Stopping:        http.StatusServiceUnavailable,
	result.KeyRequired:     http.StatusBadRequest,
	result.KeyRefused:      http.StatusUnprocessableEntity,
	result.KeyInUse:        http.StatusConflict,
	result.KeyLost:         http.StatusBadGateway,
	result.RequestCrashes:  http.StatusUnprocessableEntity,
	result.StageFailed:     http.StatusBadGateway,
	result.CallerLeft:      499,
	result.Internal:        http.StatusInternalServerError,
}

func newProblem(id string, rfl *result.Refusal) problem {
	sta, found := statusByReason[rfl.Reason()]
	if !found {
		sta = http.StatusInternalServerError
	}
	return problem{
		Type:       "urn:lovagestream:" + string(rfl.Reason()),
		Title:      string(rfl.Outcome()),
		Status:     sta,
		Detail:     rfl.Detail(),
		Outcome:    rfl.Outcome(),
		Reason:     rfl.Reason(),
		Request:    id,
		Stages:     rfl.Stages(),
		RetryAfter: ceilSeconds(rfl.RetryAfter()),
	}
}

func ceilSeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}

func writeProblem(wri http.ResponseWriter, id string, rfl *result.Refusal) {
	pro := newProblem(id, rfl)
	recordOutcome(wri, pro.Outcome, pro.Reason)
	hdr := wri.Header()
	hdr.Set("Content-Type", "application/problem+json")
	hdr.Set(HeaderRequestID, id)
	hdr.Set(HeaderOutcome, string(pro.Outcome))
	if pro.RetryAfter > 0 {
		hdr.Set("Retry-After", strconv.Itoa(pro.RetryAfter))
	}
	switch pro.Reason {
	case result.Unauthorized:
		hdr.Set("WWW-Authenticate", "Bearer")
	case result.BodyTooLarge:
		// The rest of the body stays unread, so the connection can't carry
		// another request.
		hdr.Set("Connection", "close")
	}
	wri.WriteHeader(pro.Status)
	// The status is sent; a write error means that the caller left.
	_ = json.NewEncoder(wri).Encode(pro)
}
