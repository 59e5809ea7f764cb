package core

import (
	"time"

	"lovagestream/core/keys"
)

// KeyedRequestArrived reports that a request with an idempotency key arrived.
type KeyedRequestArrived struct {
	request keys.KeyedRequest
}

// NewKeyedRequestArrived returns the event. A KeyVerdict follows, at once or by
// the request's deadline.
func NewKeyedRequestArrived(request keys.KeyedRequest) KeyedRequestArrived {
	return KeyedRequestArrived{request: request}
}

func (KeyedRequestArrived) event() {}

// KeyedRequestCanceled reports that the request with a number no longer waits.
type KeyedRequestCanceled struct {
	number uint64
}

// NewKeyedRequestCanceled returns the event.
func NewKeyedRequestCanceled(number uint64) KeyedRequestCanceled {
	return KeyedRequestCanceled{number: number}
}

func (KeyedRequestCanceled) event() {}

// KeyedRunEnded reports how the run under a claim ended.
type KeyedRunEnded struct {
	report keys.RunReport
}

// NewKeyedRunEnded returns the event. It must be sent once for each claim.
func NewKeyedRunEnded(report keys.RunReport) KeyedRunEnded { return KeyedRunEnded{report: report} }

func (KeyedRunEnded) event() {}

// KeyBatchRequested reports that a client account asked for a batch of keys.
type KeyBatchRequested struct {
	number  uint64
	account string
	count   int
}

// NewKeyBatchRequested returns the event; a KeysIssued with the same number
// follows.
func NewKeyBatchRequested(number uint64, account string, count int) KeyBatchRequested {
	return KeyBatchRequested{number: number, account: account, count: count}
}

func (KeyBatchRequested) event() {}

// KeyVerdict reports to the driver what a request with a key may do.
type KeyVerdict struct {
	number  uint64
	verdict *keys.Verdict
}

// Number returns the number of the request.
func (dec KeyVerdict) Number() uint64 { return dec.number }

// Verdict returns what the request may do.
func (dec KeyVerdict) Verdict() *keys.Verdict { return dec.verdict }

func (KeyVerdict) decision() {}

// KeysIssued gives the driver a batch of keys.
type KeysIssued struct {
	number uint64
	batch  []keys.Key
}

// Number returns the number of the KeyBatchRequested event.
func (dec KeysIssued) Number() uint64 { return dec.number }

// Batch returns the keys.
func (dec KeysIssued) Batch() []keys.Key { return dec.batch }

func (KeysIssued) decision() {}

// KeyMessage carries a message of package keys between two instances.
type KeyMessage struct {
	msg keys.Message
}

// NewKeyMessage returns the message.
func NewKeyMessage(msg keys.Message) KeyMessage { return KeyMessage{msg: msg} }

// Payload returns the message of package keys.
func (msg KeyMessage) Payload() keys.Message { return msg.msg }

func (KeyMessage) message() {}

// KeyCounts says how much state an instance holds for idempotency keys.
type KeyCounts struct {
	bound, live, ended, bytes int
}

// Bound returns the number of keys issued here that are bound or remembered.
func (cnt KeyCounts) Bound() int { return cnt.bound }

// Live returns the number of requests with keys in progress here.
func (cnt KeyCounts) Live() int { return cnt.live }

// Ended returns the number of ended requests remembered here.
func (cnt KeyCounts) Ended() int { return cnt.ended }

// Bytes returns the total size of the kept answers.
func (cnt KeyCounts) Bytes() int { return cnt.bytes }

// Keys returns how much state this instance holds for idempotency keys.
func (vie *View) Keys() KeyCounts { return vie.keys }

// idempotency is the component for idempotency keys.
type idempotency struct {
	ctl *Control
	// incarnation identifies this start of the instance. Unlike the members'
	// incarnation it is never raised, since keys name it.
	incarnation uint64
	// keys is made by the first step, from whose time it counts.
	keys *keys.State
}

var _ component = (*idempotency)(nil)

func newIdempotency(ctl *Control) *idempotency {
	return &idempotency{ctl: ctl, incarnation: ctl.opt.incarnation}
}

func (idm *idempotency) state(now time.Time) *keys.State {
	if idm.keys == nil {
		opt := idm.ctl.opt
		idm.keys = keys.New(keys.NewInstance(opt.self.id, idm.incarnation), opt.keys, now)
	}
	return idm.keys
}

func (idm *idempotency) step(now time.Time, ev Event) []Decision {
	sta := idm.state(now)
	switch evt := ev.(type) {
	case KeyedRequestArrived:
		return keyDecisions(sta.Submit(now, evt.request))
	case KeyedRequestCanceled:
		return keyDecisions(sta.Cancel(now, evt.number))
	case KeyedRunEnded:
		return keyDecisions(sta.End(now, evt.report))
	case KeyBatchRequested:
		return []Decision{KeysIssued{number: evt.number, batch: sta.Issue(now, evt.account, evt.count)}}
	case MessageReceived:
		if msg, is := evt.msg.(KeyMessage); is {
			return keyDecisions(sta.Receive(now, evt.from, msg.msg))
		}
	case Tick:
		return keyDecisions(sta.Tick(now))
	}
	return nil
}

func (idm *idempotency) fill(vie *View) {
	if idm.keys != nil {
		vie.keys.bound, vie.keys.live, vie.keys.ended, vie.keys.bytes = idm.keys.Counts()
	}
}

// keyDecisions converts outputs of package keys to decisions.
func keyDecisions(outs []keys.Output) []Decision {
	decs := make([]Decision, len(outs))
	for i, out := range outs {
		if out.Message() != nil {
			decs[i] = send(out.To(), NewKeyMessage(out.Message()))
			continue
		}
		decs[i] = KeyVerdict{number: out.Number(), verdict: out.Verdict()}
	}
	return decs
}

var (
	_ Event    = KeyedRequestArrived{}
	_ Event    = KeyedRequestCanceled{}
	_ Event    = KeyedRunEnded{}
	_ Event    = KeyBatchRequested{}
	_ Decision = KeyVerdict{}
	_ Decision = KeysIssued{}
	_ Message  = KeyMessage{}
)
