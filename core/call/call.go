// Package call defines a caller's request, and the head of a backend server's
// response, independent of the wire format. What the system acts on is decoded;
// everything else is opaque and forwarded unchanged.
package call

import "time"

// Kind says whether a request may be repeated.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce
	// Stream requests are answered with a stream of events. They run at most
	// once unless their route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (knd Kind) String() string {
	switch knd {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// PromptPart is one part of a prompt. Servers can reuse the cached computation
// of a prefix of parts that several requests have in common.
type PromptPart struct {
	// ID identifies the content: equal IDs mean equal text.
	ID string
	// Tokens is the length in tokens.
	Tokens int
}

// Field is one header field, forwarded unchanged.
type Field struct {
	Name  string
	Value string
}

// Request is one attempt of a caller. Its fields are exported for the decoders
// of the wire formats and must not be changed afterwards.
type Request struct {
	// ID identifies the attempt. Each attempt of a caller has a different one.
	ID     string
	Method string
	Host   string
	// Path is the path as sent, not decoded. Target is the path with the query.
	Path   string
	Target string
	// Credential is the API key, or empty.
	Credential string
	// Timeout is how long the caller waits after sending the request; 0 if it
	// is not given.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, MaxOutputTokens the maximum
	// length of the answer.
	PromptTokens    int
	MaxOutputTokens int
	Parts           []PromptPart
	// Pieces holds the number of pieces of each stage, by stage index.
	Pieces []int
	// PieceKey identifies the input of the stages that depend on no other.
	PieceKey string
	// LastEventID is the ID of the last event that the caller has of a stream that
	// it takes up; empty for a stream that begins.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of that stream;
	// empty if the caller doesn't name it.
	Resumes string
	// Fields are the end-to-end header fields, forwarded unchanged.
	Fields []Field
	Body   []byte
}

// ForwardMetadata is added to a request when it is forwarded to a backend
// server.
type ForwardMetadata struct {
	// Server is the backend server that the request is meant for. Any other
	// server refuses it.
	Server string
	// Account is the client account's name, or empty.
	Account string
	// Remaining is the time left for the server to respond.
	Remaining time.Duration
	// Inputs are references to the results of the last stages. HasInputs
	// distinguishes a route whose stages were all omitted from a route without
	// stages.
	Inputs    []string
	HasInputs bool
	// Credential is only forwarded if no accounts are published, since it is an
	// ordinary field then; otherwise it is empty.
	Credential string
	// LastEventID resumes a stream after that event, if not empty.
	LastEventID string
}

// ResponseHead is the decoded head of a backend server's response.
type ResponseHead struct {
	Status int
	// RequestID is the ID of the attempt that is answered, as the server gives
	// it.
	RequestID string
	// NotRun says that the server states that it has not run the request.
	NotRun bool
	// Signed says that the response comes from a backend server and not from
	// something in between.
	Signed bool
	// Encoded says that the body has a content encoding, so that it isn't the
	// server's own bytes.
	Encoded bool
	// Closing says that the server closes the connection.
	Closing bool
	// IdleTimeout is how long the connection may be idle; 0 if it is not given.
	IdleTimeout time.Duration
	// EventStream says that the body consists of server-sent events.
	EventStream bool
	// Running, Waiting and Slots are the server's load. Slots is 0 if the load
	// is not given.
	Running int
	Waiting int
	Slots   int
	// WorkFactor is how long work takes at the server at this moment, relative
	// to its usual time; 0 if it is not given. LoadInvalid says that the load
	// field can't be parsed and is ignored.
	WorkFactor  float64
	LoadInvalid bool
	// RateLimited says that the server accepts at most RateLimit requests per
	// second from all entry instances together, until a response no longer says
	// so. RateLimitInvalid says that the field can't be parsed and is ignored.
	RateLimited      bool
	RateLimit        float64
	RateLimitInvalid bool
	// Leaving says that the server must get no new work. LeavingInvalid says
	// that the field can't be parsed and is ignored.
	Leaving        bool
	LeavingInvalid bool
	// RetryAfter is how long a server that refused a request wants none from
	// this entry instance; 0 if it is not given. RetryAfterInvalid says that
	// the field can't be parsed and is ignored.
	RetryAfter        time.Duration
	RetryAfterInvalid bool
	// Brittle is how many rejections in a second the server survives; 0 if it doesn't
	// say. BrittleInvalid says that the field can't be parsed and is ignored.
	Brittle        int
	BrittleInvalid bool
}

// maxPieces is the maximum number of pieces of one request over all stages.
// Published kinds of request have up to sixty.
const maxPieces = 1024

// ValidPieceCounts reports whether none of a request's piece counts is negative
// and their sum is at most maxPieces, so that its job doesn't exhaust the
// memory of the coordinator.
func ValidPieceCounts(counts []int) bool {
	total := 0
	for _, num := range counts {
		if num < 0 || num > maxPieces {
			return false
		}
		total += num
	}
	return total <= maxPieces
}
