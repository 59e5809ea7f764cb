package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"lovagestream/core"
	"lovagestream/core/keys"
	"lovagestream/core/marks"
	"lovagestream/core/result"
	"lovagestream/io/peer/wire"
)

// Messages about idempotency keys and crash reports must keep every field
// through encoding and decoding. A lost field could release a key or make a "not
// run" outcome false.
func TestKeyMessagesAndCrashReportsOnTheWire(t *testing.T) {
	ask, holder := keys.NewRequestRef(keys.NewInstance("entry-1", 7), 8), keys.NewRequestRef(keys.NewInstance("entry-2", 9), 10)
	key := keys.NewKey(keys.NewInstance("entry-3", 11), 12, 13*time.Second, "family")
	for _, said := range []keys.Message{
		keys.NewBind(key, ask, "branch", keys.Digest{1, 2}),
		keys.NewBound(ask, 14*time.Second, true),
		keys.NewHeldElsewhere(ask, holder),
		keys.NewDenied(ask, result.NotRun, result.KeyRefused),
		keys.NewDenied(ask, result.Unknown, result.KeyLost),
		keys.NewRelease(key, ask, true, false),
		keys.NewRelease(key, ask, false, true),
		keys.NewFetch(holder, ask),
		keys.NewFetchReply(ask, keys.Done, keys.Answered([]byte("answer"))),
		keys.NewFetchReply(ask, keys.Done, keys.Failed(result.StageFailed, "detail", []string{"charge"})),
	} {
		require.Equal(t, core.NewKeyMessage(said), roundTrip(t, core.NewKeyMessage(said)))
	}
	msg := core.NewCrashReport("eng-1", 3*time.Second, time.Second, []marks.Fingerprint{1, 1 << 60})
	require.Equal(t, msg, roundTrip(t, msg))
	wdr := core.NewCrashWithdrawal(2*time.Second, []marks.Fingerprint{3, 1 << 61})
	require.Equal(t, wdr, roundTrip(t, wdr))
}

// roundTrip encodes and decodes a message.
func roundTrip(t *testing.T, msg core.Message) core.Message {
	t.Helper()
	env, err := Encode(core.NewStamp(1, 2, 3, 4), msg)
	require.NoError(t, err)
	raw, err := proto.Marshal(env)
	require.NoError(t, err)
	var got wire.Envelope
	require.NoError(t, proto.Unmarshal(raw, &got))
	_, back, err := Decode(&got)
	require.NoError(t, err)
	return back
}

// An unknown outcome text must decode as result.Unknown, and an oversized or
// empty message must be an error, which closes the link.
func TestBadKeyMessages(t *testing.T) {
	bod := func(said *wire.Keys) *wire.Envelope { return &wire.Envelope{Body: &wire.Envelope_Keys{Keys: said}} }
	_, msg, err := Decode(bod(&wire.Keys{Said: &wire.Keys_Denied{Denied: &wire.KeyDenied{Outcome: "Not-Run"}}}))
	require.NoError(t, err)
	require.Equal(t, result.Unknown, msg.(core.KeyMessage).Payload().(keys.Denied).Outcome())
	for _, env := range []*wire.Envelope{
		bod(&wire.Keys{}),
		bod(&wire.Keys{Said: &wire.Keys_Redeem{Redeem: &wire.KeyRedeem{Digest: []byte("short")}}}),
		bod(&wire.Keys{Said: &wire.Keys_Told{Told: &wire.KeyTold{Phase: 99}}}),
		bod(&wire.Keys{Said: &wire.Keys_Told{Told: &wire.KeyTold{Answer: make([]byte, maxKeyAnswerLen+1)}}}),
		{Body: &wire.Envelope_CrashMarks{CrashMarks: &wire.CrashMarks{Prints: make([]uint64, marks.MaxBatch+1)}}},
	} {
		var bad *MessageError
		_, _, err := Decode(env)
		require.ErrorAs(t, err, &bad)
	}
}
