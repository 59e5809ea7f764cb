package stage

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"lovagestream/core/config"
)

// Call is one call of a stage, to be sent to a backend server.
type Call struct {
	request  string
	stg      *config.Stage
	attempt  int
	nonce    uint64
	inputs   []Input
	priority int
	// resume is the number of tokens that an earlier attempt already
	// generated; resumeText is their text.
	resume     int
	resumeText string
	silence    time.Duration
	// sendCheck is called right before the first byte is sent; may be nil.
	sendCheck func() error
}

// NewCall returns a call of a request's stage. Attempts are numbered from 1. The
// nonce must be unique among the calls of this entry instance. The call fails
// with FaultSilent if no byte of the reply arrives for the time silence.
func NewCall(request string, stg *config.Stage, attempt int, nonce uint64, silence time.Duration) *Call {
	return &Call{request: request, stg: stg, attempt: attempt, nonce: nonce, silence: silence}
}

// WithInputs sets the stage's inputs.
func (cal *Call) WithInputs(inputs []Input) *Call {
	cal.inputs = inputs
	return cal
}

// WithPriority sets the priority in the engine's queue; lower values are served
// first.
func (cal *Call) WithPriority(priority int) *Call {
	cal.priority = priority
	return cal
}

// WithResume resumes an answer after its first tokens, whose text is given.
func (cal *Call) WithResume(tokens int, text string) *Call {
	cal.resume, cal.resumeText = tokens, text
	return cal
}

// ID identifies the call on the wire; the reply must carry the same ID.
func (cal *Call) ID() string {
	const nonceDigits = 16
	hex := strconv.FormatUint(cal.nonce, 16)
	pad := "0000000000000000"[:nonceDigits-len(hex)]
	return cal.request + "/" + cal.stg.Name() + "/" + strconv.Itoa(cal.attempt) + "/" + pad + hex
}

// Reply is a complete reply to a call.
type Reply struct {
	output json.RawMessage
	usage  Usage
}

// Output returns the stage's output as JSON.
func (rep *Reply) Output() json.RawMessage { return rep.output }

// Usage returns the token counts that the server reported.
func (rep *Reply) Usage() Usage { return rep.usage }

// Sink receives the tokens of a generate stage in order. An error ends the call
// with FaultSink.
type Sink func(offset int, text string) error

// Prompt joins the inputs of a generate stage in order, one per line. JSON
// strings are decoded; other JSON values are included as they are.
func Prompt(inputs []Input) string {
	var buf strings.Builder
	for _, inp := range inputs {
		var txt string
		if err := json.Unmarshal(inp.Data, &txt); err != nil {
			txt = string(inp.Data)
		}
		buf.WriteString(txt)
		buf.WriteByte('\n')
	}
	return buf.String()
}
