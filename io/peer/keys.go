package peer

import (
	"time"

	"lovagestream/core"
	"lovagestream/core/keys"
	"lovagestream/core/result"
	"lovagestream/io/peer/wire"
)

// Bounds on messages about idempotency keys, in bytes and number of stages.
const (
	maxKeyAnswerLen = 512 << 10
	maxKeyDetailLen = 1 << 10
	maxKeyStages    = 16
)

func encodeKeyMessage(msg core.KeyMessage, env *wire.Envelope) {
	bod := &wire.Keys{}
	switch got := msg.Payload().(type) {
	case keys.Bind:
		dig := got.Digest()
		bod.Said = &wire.Keys_Redeem{Redeem: &wire.KeyRedeem{Key: encodeKey(got.Key()), Ask: encodeRequestRef(got.Request()), Account: got.Account(), Digest: dig[:]}}
	case keys.Bound:
		bod.Said = &wire.Keys_Bound{Bound: &wire.KeyBound{Ask: encodeRequestRef(got.Request()), ClearMillis: got.SinceNotRun().Milliseconds(), Dirty: got.EarlierCalls()}}
	case keys.HeldElsewhere:
		bod.Said = &wire.Keys_Elsewhere{Elsewhere: &wire.KeyElsewhere{Ask: encodeRequestRef(got.Request()), Holder: encodeRequestRef(got.Holder())}}
	case keys.Denied:
		bod.Said = &wire.Keys_Denied{Denied: &wire.KeyDenied{Ask: encodeRequestRef(got.Request()), Outcome: string(got.Outcome()), Reason: string(got.Reason())}}
	case keys.Release:
		bod.Said = &wire.Keys_Release{Release: &wire.KeyRelease{Key: encodeKey(got.Key()), Ask: encodeRequestRef(got.Request()), Clean: got.NoCalls(), Told: got.ReportedNotRun()}}
	case keys.Fetch:
		bod.Said = &wire.Keys_Fetch{Fetch: &wire.KeyFetch{Holder: encodeRequestRef(got.Holder()), Ask: encodeRequestRef(got.Request())}}
	case keys.FetchReply:
		end := got.RunOutcome()
		bod.Said = &wire.Keys_Told{Told: &wire.KeyTold{Ask: encodeRequestRef(got.Request()), Phase: uint32(got.Phase()), Answer: end.Answer(), Reason: string(end.Reason()), Detail: truncateDetail(end.Detail()), Stages: end.Stages()}}
	}
	env.Body = &wire.Envelope_Keys{Keys: bod}
}

// truncateDetail keeps a detail within its bound: the receiver closes the link
// on a longer one.
func truncateDetail(txt string) string { return txt[:min(len(txt), maxKeyDetailLen)] }

func encodeKey(key keys.Key) *wire.Key {
	return &wire.Key{
		Issuer:       key.Issuer().ID(),
		Incarnation:  key.Issuer().Incarnation(),
		Sequence:     key.Sequence(),
		ExpiryMillis: key.Expiry().Milliseconds(),
		Account:      key.Account(),
	}
}

func encodeRequestRef(ref keys.RequestRef) *wire.KeyAsk {
	return &wire.KeyAsk{Instance: ref.Instance().ID(), Incarnation: ref.Instance().Incarnation(), Number: ref.Number()}
}

func decodeKeyMessage(env *wire.Envelope) (core.KeyMessage, error) {
	var msg keys.Message
	var err error
	switch got := env.GetKeys().GetSaid().(type) {
	case *wire.Keys_Redeem:
		msg, err = decodeBind(env, got.Redeem)
	case *wire.Keys_Bound:
		msg = keys.NewBound(decodeRequestRef(got.Bound.GetAsk()), millis(got.Bound.GetClearMillis()), got.Bound.GetDirty())
	case *wire.Keys_Elsewhere:
		msg = keys.NewHeldElsewhere(decodeRequestRef(got.Elsewhere.GetAsk()), decodeRequestRef(got.Elsewhere.GetHolder()))
	case *wire.Keys_Denied:
		msg = keys.NewDenied(decodeRequestRef(got.Denied.GetAsk()), decodeOutcome(got.Denied.GetOutcome()), result.Reason(got.Denied.GetReason()))
	case *wire.Keys_Release:
		msg = keys.NewRelease(decodeKey(got.Release.GetKey()), decodeRequestRef(got.Release.GetAsk()), got.Release.GetClean(), got.Release.GetTold())
	case *wire.Keys_Fetch:
		msg = keys.NewFetch(decodeRequestRef(got.Fetch.GetHolder()), decodeRequestRef(got.Fetch.GetAsk()))
	case *wire.Keys_Told:
		msg, err = decodeFetchReply(env, got.Told)
	default:
		err = messageErrorf(env, "nothing said")
	}
	return core.NewKeyMessage(msg), err
}

func decodeBind(env *wire.Envelope, bod *wire.KeyRedeem) (keys.Message, error) {
	if len(bod.GetDigest()) != len(keys.Digest{}) || len(bod.GetAccount()) > maxNameLen {
		return nil, messageErrorf(env, "a digest of %d bytes, an account of %d", len(bod.GetDigest()), len(bod.GetAccount()))
	}
	return keys.NewBind(decodeKey(bod.GetKey()), decodeRequestRef(bod.GetAsk()), bod.GetAccount(), keys.Digest(bod.GetDigest())), nil
}

func decodeFetchReply(env *wire.Envelope, bod *wire.KeyTold) (keys.Message, error) {
	if len(bod.GetAnswer()) > maxKeyAnswerLen || len(bod.GetDetail()) > maxKeyDetailLen || len(bod.GetStages()) > maxKeyStages || bod.GetPhase() > uint32(keys.NoRecord) {
		return nil, messageErrorf(env, "an answer of %d bytes, phase %d", len(bod.GetAnswer()), bod.GetPhase())
	}
	end := keys.Failed(result.Reason(bod.GetReason()), bod.GetDetail(), bod.GetStages())
	if len(bod.GetAnswer()) > 0 {
		end = keys.Answered(bod.GetAnswer())
	}
	return keys.NewFetchReply(decodeRequestRef(bod.GetAsk()), keys.Phase(bod.GetPhase()), end), nil
}

func decodeKey(bod *wire.Key) keys.Key {
	issuer := keys.NewInstance(bod.GetIssuer(), bod.GetIncarnation())
	return keys.NewKey(issuer, bod.GetSequence(), millis(bod.GetExpiryMillis()), bod.GetAccount())
}

func decodeRequestRef(bod *wire.KeyAsk) keys.RequestRef {
	return keys.NewRequestRef(keys.NewInstance(bod.GetInstance(), bod.GetIncarnation()), bod.GetNumber())
}

// millis converts milliseconds to a duration, clamped so that it can't overflow.
func millis(num int64) time.Duration {
	const limit = int64(1) << 40
	return time.Duration(min(max(num, 0), limit)) * time.Millisecond
}

// decodeOutcome returns result.NotRun for its exact text and result.Unknown for
// any other.
func decodeOutcome(txt string) result.Outcome {
	if result.Outcome(txt) == result.NotRun {
		return result.NotRun
	}
	return result.Unknown
}
