package back

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lovagestream/core/config"
	"lovagestream/io/stage"
)

// Token returns the text of the token at an offset. It is the same on every
// engine, as with greedy decoding, and depends on the prompt, so that a test
// detects an answer to another request.
func Token(prompt string, offset int) string {
	return tokenOf(xxhash.Sum64String(prompt), offset)
}

func tokenOf(sum uint64, offset int) string {
	return fmt.Sprintf("%04x.%d ", sum&0xffff, offset)
}

// CompletionText returns the whole text that an engine generates for a prompt.
func CompletionText(prompt string, tokens int) string {
	var buf strings.Builder
	sum := xxhash.Sum64String(prompt)
	for off := range tokens {
		buf.WriteString(tokenOf(sum, off))
	}
	return buf.String()
}

// plainOutput is the output of a plain call; it depends on the inputs alone.
type plainOutput struct {
	Digest string `json:"digest"`
	Inputs int    `json:"inputs"`
}

// Output returns a plain server's output for inputs.
func Output(inputs []stage.Input) json.RawMessage {
	raw, err := json.Marshal(plainOutput{Digest: strconv.FormatUint(digest(inputs), 16), Inputs: len(inputs)})
	if err != nil {
		// A struct of a string and an int always encodes.
		panic(err)
	}
	return raw
}

// digest hashes inputs; white space in their JSON makes no difference.
func digest(inputs []stage.Input) uint64 {
	dig := xxhash.New()
	var buf bytes.Buffer
	for _, inp := range inputs {
		buf.Reset()
		if json.Compact(&buf, inp.Data) != nil {
			buf.Write(inp.Data)
		}
		_, _ = dig.WriteString(inp.From)
		_, _ = dig.Write(buf.Bytes())
	}
	return dig.Sum64()
}

// ExpectedAnswer returns the correct answer of a pipeline to a request body: the
// text of a generate stage as a JSON string, or the output of a plain call.
func ExpectedAnswer(pip *config.Pipeline, body json.RawMessage) json.RawMessage {
	outs := make([]json.RawMessage, len(pip.Stages()))
	for i, stg := range pip.Stages() {
		inputs := make([]stage.Input, 0, len(stg.Inputs()))
		for _, idx := range stg.Inputs() {
			if idx < 0 {
				inputs = append(inputs, stage.Input{From: config.FromRequest, Data: body})
				continue
			}
			inputs = append(inputs, stage.Input{From: pip.Stages()[idx].Name(), Data: outs[idx]})
		}
		outs[i] = expectStage(stg, inputs)
	}
	return outs[pip.AnswerStage()]
}

func expectStage(stg *config.Stage, inputs []stage.Input) json.RawMessage {
	if stg.Kind() != config.Generate {
		return Output(inputs)
	}
	raw, err := json.Marshal(CompletionText(stage.Prompt(inputs), stg.MaxTokens()))
	if err != nil {
		// A string always encodes.
		panic(err)
	}
	return raw
}
