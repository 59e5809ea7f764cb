package mesh

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"lovagestream/core/fair"
	"lovagestream/core/pause"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/speed"
	"lovagestream/core/table"
	"lovagestream/io/mesh/wire"
)

// roundTrip encodes a message and returns what the receiver decodes.
func roundTrip(t *testing.T, now time.Time, msg Message) Message {
	t.Helper()
	raw, err := proto.Marshal(msg.encode(now))
	require.NoError(t, err)
	env := &wire.Envelope{}
	require.NoError(t, proto.Unmarshal(raw, env))
	return decode(now, "self", "peer", env)
}

func heldResults(now time.Time) sched.HeldResults {
	return sched.HeldResults{
		Key: sched.Key{Owner: "self", ID: "e5b2907c14da6f38"}, Attempt: 7, Stage: 1, Server: "i-7f3a91c2", Pieces: []int{0, 3},
		Handles: []string{"10.1.64.7:8080/91bd3f06e44", "10.1.64.7:8080/91bd3f06e45"}, Expires: now.Add(3 * time.Second),
	}
}

// Held results arrive unchanged at the request's entry instance, and from there at its
// next coordinator.
func TestHeldResultsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	hld := heldResults(now)
	require.Equal(t, HeldResults{hld}, roundTrip(t, now, HeldResults{hld}))
	spc := sched.Spec{
		Key: sched.Key{Owner: "peer", ID: hld.Key.ID}, Attempt: 7, Stages: []table.Stage{{Service: "a", DependsOn: []int{}, ResultSize: 5}}, Pieces: []int{4},
		Arrived: now, Target: now.Add(time.Second), GiveUp: now.Add(2 * time.Second), Deadline: now.Add(3 * time.Second),
	}
	hld.Key.Owner = "peer"
	spc.HeldResults = []sched.HeldResults{hld}
	spc.Paused = []pause.Server{{ID: "i-7f3a91c2", Until: now.Add(3 * time.Second)}}
	require.Equal(t, Submit{spc}, roundTrip(t, now, Submit{spc}))
	require.Equal(t, Adopt{Spec: spc, Engine: "e"}, roundTrip(t, now, Adopt{Spec: spc, Engine: "e"}))
}

// Records of streams arrive unchanged, whatever the clocks, and so does what a request
// must have of its engine.
func TestStreamsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	msg := Streams{List: []resume.Record{{ID: "r1", Request: 1 << 63, Service: "model", Version: "v1.2", Until: now.Add(7 * time.Second)}, {ID: "r2", Version: "v1", Until: now}}, Unknown: []string{"r3"}, Requests: []uint64{1 << 63}}
	require.Equal(t, msg, roundTrip(t, now, msg))
	for _, ask := range []AskStream{{ID: "r1"}, {Request: 1 << 63}} {
		require.Equal(t, ask, roundTrip(t, now, ask))
	}
	got, ok := roundTrip(t, now, Submit{sched.Spec{Version: "v1.2", GoesOn: true}}).(Submit)
	require.True(t, ok)
	require.Equal(t, "v1.2", got.Spec.Version)
	require.True(t, got.Spec.GoesOn)
}

// An earlier build that has no record infers the version from what it has seen for a while. That
// must not be believed.
func TestInferredVersionsAreUnknown(t *testing.T) {
	got := toStreams(time.Unix(1000, 0), &wire.Streams{List: []*wire.Stream{{Id: "r1", Service: "model", Software: "v1", Inferred: true}}, Unknown: []string{"r2"}})
	require.Equal(t, Streams{Unknown: []string{"r2", "r1"}}, got)
}

// Speeds of engines arrive unchanged, with the starts that they are of.
func TestSpeedsRoundTrip(t *testing.T) {
	msg := Speeds{Records: map[string][]speed.Record{"chat": {{Server: "e1", StartedAt: 7, Factor: 1.6, Weight: 12}, {Server: "e2", Factor: 0.6, Weight: 64}}, "model": {{Server: "m1", Factor: 1, Weight: 3}}}}
	require.Equal(t, msg, roundTrip(t, time.Unix(1000, 0), msg))
}

// A message kind of a later version must not close the link.
func TestUnknownMessageIsSkipped(t *testing.T) {
	raw := protowire.AppendTag(nil, 99, protowire.BytesType)
	raw = protowire.AppendBytes(raw, []byte("news"))
	env := &wire.Envelope{}
	require.NoError(t, proto.Unmarshal(raw, env))
	require.Nil(t, decode(time.Unix(1000, 0), "self", "peer", env))
}

// A request from an earlier version has neither attempt nor held results.
func TestSubmitFromEarlierVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	got, ok := decode(now, "self", "peer", &wire.Envelope{Body: &wire.Envelope_Submit{Submit: &wire.Submit{Id: "r"}}}).(Submit)
	require.True(t, ok)
	require.Empty(t, got.Spec.HeldResults)
	require.Zero(t, got.Spec.Attempt)
}

// A report of held results must be little larger than the handles in it.
func TestHeldResultsAreSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	hld := heldResults(now)
	handles := 0
	for _, han := range hld.Handles {
		handles += len(han)
	}
	size := proto.Size(HeldResults{hld}.encode(now))
	t.Logf("%d bytes for %d pieces, %d of them handles", size, len(hld.Pieces), handles)
	require.LessOrEqual(t, size-handles, 64)
}

// BenchmarkHeldResults measures the encoding and decoding of a report of held results.
func BenchmarkHeldResults(b *testing.B) {
	now := time.Unix(1000, 0)
	msg := HeldResults{heldResults(now)}
	for b.Loop() {
		raw, err := proto.Marshal(msg.encode(now))
		require.NoError(b, err)
		env := &wire.Envelope{}
		require.NoError(b, proto.Unmarshal(raw, env))
		decode(now, "self", "peer", env)
	}
}

// usageOf returns a report on a contended service with as many accounts as a report
// has at most.
func usageOf() fair.Usage {
	usg := fair.Usage{Resource: "wallet-api", Served: 0.31, Refused: 0.5, Rest: 0.25}
	for num := range fair.MaxUsageRows {
		usg.Rows = append(usg.Rows, fair.Standing{Account: fmt.Sprintf("client-account-%04d", num), Resource: usg.Resource, Demand: 2.5, Use: 0.125})
	}
	return usg
}

// The accounts over their share and the reports behind them arrive unchanged, and so
// does the reason of a refusal.
func TestAccountsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	usg := Usages{List: []fair.Usage{usageOf()}}
	require.Equal(t, usg, roundTrip(t, now, usg))
	sta := fair.Standing{Account: "a", Resource: "wallet-api", Demand: 14.5, Use: 6.25, Share: 5.5, Wait: 1636 * time.Millisecond}
	require.Equal(t, Standings{List: []fair.Standing{sta}}, roundTrip(t, now, Standings{List: []fair.Standing{sta}}))
	dec := Decision{sched.Decision{Key: sched.Key{Owner: "self", ID: "r"}, Outcome: sched.Refused, Reason: sched.ReasonOverShare, Standing: sta}}
	require.Equal(t, dec, roundTrip(t, now, dec))
}

// A peer's numbers and lists that are out of bounds must not reach the division.
func TestOddAccountMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	odd := fair.Standing{Account: "a", Resource: "r", Demand: math.NaN(), Use: math.Inf(1), Share: -4, Wait: -time.Second}
	got := roundTrip(t, now, Standings{List: slices.Repeat([]fair.Standing{odd}, 100)}).(Standings)
	require.Len(t, got.List, fair.MaxNoticeRows)
	require.Zero(t, got.List[0].Demand)
	require.Less(t, got.List[0].Use, 1e7)
	require.Zero(t, got.List[0].Share)
	require.Zero(t, got.List[0].Wait)
	usg := usageOf()
	usg.Rows = slices.Repeat(usg.Rows, 10)
	sent := roundTrip(t, now, Usages{List: slices.Repeat([]fair.Usage{usg}, 10)}).(Usages)
	require.Len(t, sent.List, fair.MaxReported)
	require.Len(t, sent.List[0].Rows, fair.MaxUsageRows)
	require.Empty(t, roundTrip(t, now, Standings{}).(Standings).List)
}

// earlierEnvelope returns an envelope of the version that had no messages on client
// accounts.
func earlierEnvelope(t *testing.T) *dynamicpb.Message {
	t.Helper()
	fil := protodesc.ToFileDescriptorProto(wire.File_mesh_proto)
	for _, msg := range fil.MessageType {
		msg.Field = slices.DeleteFunc(msg.Field, func(fie *descriptorpb.FieldDescriptorProto) bool {
			return msg.GetName() == "Envelope" && fie.GetNumber() > 25 || msg.GetName() == "Verdict" && fie.GetNumber() > 8
		})
	}
	des, err := protodesc.NewFile(fil, nil)
	require.NoError(t, err)
	return dynamicpb.NewMessage(des.Messages().ByName("Envelope"))
}

// An instance of the version before reads reports and words as messages of no kind,
// which it skips, and a refusal as one without a standing.
func TestEarlierVersionSkipsAccounts(t *testing.T) {
	now := time.Unix(1000, 0)
	sta := fair.Standing{Account: "a", Resource: "wallet-api", Demand: 2, Share: 1}
	for _, msg := range []Message{Usages{List: []fair.Usage{usageOf()}}, Standings{List: []fair.Standing{sta}}} {
		raw, err := proto.Marshal(msg.encode(now))
		require.NoError(t, err)
		env := earlierEnvelope(t)
		require.NoError(t, proto.Unmarshal(raw, env))
		require.Nil(t, env.WhichOneof(env.Descriptor().Oneofs().ByName("body")))
	}
	dec := Decision{sched.Decision{Key: sched.Key{Owner: "self", ID: "r"}, Outcome: sched.Refused, Reason: sched.ReasonOverShare, RetryAfter: time.Second, Standing: sta}}
	raw, err := proto.Marshal(dec.encode(now))
	require.NoError(t, err)
	old := earlierEnvelope(t)
	require.NoError(t, proto.Unmarshal(raw, old))
	raw, err = proto.Marshal(old)
	require.NoError(t, err)
	env := &wire.Envelope{}
	require.NoError(t, proto.Unmarshal(raw, env))
	require.Equal(t, sched.ReasonOverShare, env.GetVerdict().GetReason())
	require.Equal(t, time.Second.Microseconds(), env.GetVerdict().GetAfter())
}

// Reports and words pass while a service is contended, from and to every instance.
func TestAccountMessagesAreSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	report := Size(now, Usages{List: []fair.Usage{usageOf()}})
	notice := Size(now, Standings{List: slices.Repeat([]fair.Standing{{Account: "client-account-0001", Resource: "wallet-api", Demand: 14.5, Use: 6.25, Share: 5.5, Wait: time.Second}}, 3)})
	t.Logf("a report on one service with %d accounts has %d bytes, a notice on 3 accounts %d", fair.MaxUsageRows, report, notice)
	require.LessOrEqual(t, report, 320)
	require.LessOrEqual(t, notice, 180)
}
