package peer

import (
	"fmt"
	"reflect"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/io/peer/wire"
)

// MaxMessageSize is the largest encoded envelope in bytes: an incompressible
// configuration document of the largest size, and 64 KiB for the rest.
const MaxMessageSize = 1<<20 + 64<<10

// codec encodes and decodes one type of message.
type codec struct {
	message reflect.Type
	body    reflect.Type
	encode  func(msg core.Message, env *wire.Envelope)
	decode  func(env *wire.Envelope) (core.Message, error)
}

// newCodec returns the codec of message type M, which is carried as case B of
// the envelope's oneof. decode must return an error for a message that exceeds
// one of its bounds.
func newCodec[M core.Message, B any](encode func(M, *wire.Envelope), decode func(*wire.Envelope) (M, error)) codec {
	return codec{
		message: reflect.TypeFor[M](),
		body:    reflect.TypeFor[B](),
		encode:  func(msg core.Message, env *wire.Envelope) { encode(msg.(M), env) },
		decode: func(env *wire.Envelope) (core.Message, error) {
			msg, err := decode(env)
			if err != nil {
				return nil, err
			}
			return msg, nil
		},
	}
}

// codecs lists the codecs of all message types. A new type needs an entry here
// and a case in the envelope's oneof.
var codecs = []codec{
	newCodec[core.Heartbeat, *wire.Envelope_Heartbeat](encodeHeartbeat, decodeHeartbeat),
	newCodec[core.ConfigPull, *wire.Envelope_ConfigPull](encodeConfigPull, decodeConfigPull),
	newCodec[core.ConfigPatch, *wire.Envelope_ConfigPatch](encodeConfigPatch, decodeConfigPatch),
	newCodec[core.ListPull, *wire.Envelope_ListPull](encodeListPull, decodeListPull),
	newCodec[core.FullList, *wire.Envelope_ListWhole](encodeFullList, decodeFullList),
	newCodec[core.CrashReport, *wire.Envelope_CrashMarks](encodeCrashReport, decodeCrashReport),
	newCodec[core.ShareRequest, *wire.Envelope_Demand](encodeShareRequest, decodeShareRequest),
	newCodec[core.ShareGrant, *wire.Envelope_Grant](encodeShareGrant, decodeShareGrant),
	newCodec[core.KeyMessage, *wire.Envelope_Keys](encodeKeyMessage, decodeKeyMessage),
}

// MessageError reports an envelope that violates the protocol. The link that it
// was received on is closed.
type MessageError struct {
	body   string
	reason string
}

// Error returns the type of the message and what is wrong with it.
func (err *MessageError) Error() string {
	return fmt.Sprintf("bad %s message: %s", err.body, err.reason)
}

// messageErrorf returns a *MessageError about the body of an envelope.
func messageErrorf(env *wire.Envelope, format string, args ...any) error {
	return &MessageError{body: fmt.Sprintf("%T", env.GetBody()), reason: fmt.Sprintf(format, args...)}
}

// Encode returns the envelope that carries a message. It returns an error for a
// message type without a codec.
func Encode(stm core.Stamp, msg core.Message) (*wire.Envelope, error) {
	env := &wire.Envelope{
		Incarnation:  stm.Incarnation(),
		Revision:     stm.Revision(),
		Digest:       stm.Digest(),
		ListRevision: stm.ListRevision(),
	}
	for _, cod := range codecs {
		if cod.message == reflect.TypeOf(msg) {
			cod.encode(msg, env)
			return env, nil
		}
	}
	return nil, errors.Errorf("no codec for message type %T", msg)
}

// Decode returns the stamp and the message of an envelope, or a *MessageError. It
// must not panic on any input, since envelopes come from other processes.
func Decode(env *wire.Envelope) (core.Stamp, core.Message, error) {
	stm := core.NewStamp(env.GetIncarnation(), env.GetRevision(), env.GetDigest(), env.GetListRevision())
	for _, cod := range codecs {
		if cod.body == reflect.TypeOf(env.GetBody()) {
			msg, err := cod.decode(env)
			return stm, msg, err
		}
	}
	return stm, nil, messageErrorf(env, "unknown kind")
}
