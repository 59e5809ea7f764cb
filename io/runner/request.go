package runner

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/result"
	"lovagestream/io/stage"
)

// Request is one admitted request.
type Request struct {
	id  string
	acc *config.Account
	pip *config.Pipeline
	// doc is the configuration in force at admission. The request uses it to
	// its end, even if another configuration comes into force.
	doc         *config.Document
	body        json.RawMessage
	deadline    time.Time
	sink        stage.Sink
	sendTracker result.SendTracker
	guard       Guard
	evidence    crashEvidence
	// tokens is the number of tokens generated for the answer, by all calls.
	tokens atomic.Int64
	// costs is written once, when the run has ended.
	costs []Cost
}

// NewRequest returns a request of a client account, admitted under the
// configuration doc, with the caller's JSON body and deadline.
func NewRequest(id string, doc *config.Document, acc *config.Account, pip *config.Pipeline, body json.RawMessage, deadline time.Time) *Request {
	return &Request{id: id, doc: doc, acc: acc, pip: pip, body: body, deadline: deadline}
}

// WithSink streams the answering stage's tokens to the caller.
func (req *Request) WithSink(snk stage.Sink) *Request {
	req.sink = snk
	return req
}

// ID returns the request's id.
func (req *Request) ID() string { return req.id }

// Account returns the client account.
func (req *Request) Account() *config.Account { return req.acc }

// Pipeline returns the pipeline.
func (req *Request) Pipeline() *config.Pipeline { return req.pip }

// Document returns the configuration that the request runs under.
func (req *Request) Document() *config.Document { return req.doc }

// Body returns the caller's JSON.
func (req *Request) Body() json.RawMessage { return req.body }

// Deadline returns the request's deadline.
func (req *Request) Deadline() time.Time { return req.deadline }

// Tokens returns the number of tokens generated for the request so far.
func (req *Request) Tokens() int { return int(req.tokens.Load()) }

// Costs returns the cost of each stage in the pipeline's order, once the run
// has ended, successfully or not; nil if it never began.
func (req *Request) Costs() []Cost { return req.costs }

// SendTracker returns the record of the stages whose calls were sent.
func (req *Request) SendTracker() *result.SendTracker { return &req.sendTracker }

// Answer is the complete answer to a request.
type Answer struct {
	output json.RawMessage
	costs  []Cost
}

// Output returns the answering stage's output.
func (ans *Answer) Output() json.RawMessage { return ans.output }

// Costs returns the cost of each stage in the pipeline's order.
func (ans *Answer) Costs() []Cost { return ans.costs }
