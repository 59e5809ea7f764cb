package stage

import (
	"encoding/json"
)

// Headers of every call to a backend server. None may be named
// Idempotency-Key: Go's HTTP transport retries requests with that header on
// another connection, which could run a call twice.
const (
	// HeaderCall carries the call's ID; the reply must repeat it.
	HeaderCall = "Lovage-Call"
	// HeaderPriority carries the priority in the engine's queue; lower values
	// are served first.
	HeaderPriority = "Lovage-Priority"
	// HeaderState carries the server's state in a reply.
	HeaderState = "Lovage-State"
	// StateLeaving is the value of HeaderState from a leaving server.
	StateLeaving = "leaving"
)

// Paths that backend servers serve.
const (
	PathCompletions = "/v1/completions"
	PathCall        = "/v1/call"
	PathCancel      = "/v1/cancel"
)

// streamEnd is the data of the last event of a completions stream.
const streamEnd = "[DONE]"

// Input is one input of a stage, as sent to the server.
type Input struct {
	From string          `json:"from"`
	Data json.RawMessage `json:"data"`
}

// completionBody is the request body of a generate stage, in the streaming
// completions format that model engines commonly use.
type completionBody struct {
	Model      string `json:"model,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from,omitempty"`
	ResumeText string `json:"resume_text,omitempty"`
}

// completionChunk is one event of a completions stream.
type completionChunk struct {
	ID      string             `json:"id"`
	Choices []completionChoice `json:"choices"`
	// Offset is the index of the chunk's token in the answer, from 0.
	Offset int       `json:"offset"`
	Usage  *Usage    `json:"usage,omitempty"`
	Load   *loadBody `json:"load,omitempty"`
}

type completionChoice struct {
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage holds token counts under the names that engines use.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// loadBody is the load that a server reports in a reply.
type loadBody struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMillis is the age of the figures.
	AgeMillis int64 `json:"age_ms"`
}

// callBody is the request body of stages that don't generate.
type callBody struct {
	ID     string  `json:"id"`
	Model  string  `json:"model,omitempty"`
	Inputs []Input `json:"inputs"`
}

// callReply is the reply to a callBody.
type callReply struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
	Usage  Usage           `json:"usage"`
	Load   *loadBody       `json:"load,omitempty"`
}
