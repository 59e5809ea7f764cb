package mesh

import (
	"time"

	"lovagestream/core/sched"
	"lovagestream/io/mesh/wire"
)

func (msg Retries) encode(time.Time) *wire.Envelope {
	out := &wire.Retries{Known: msg.Known.Milliseconds()}
	var last *wire.ServiceRetries
	for _, cnt := range msg.Counts {
		if last == nil || last.GetService() != cnt.Service {
			last = &wire.ServiceRetries{Service: cnt.Service}
			out.List = append(out.List, last)
		}
		last.List = append(last.List, &wire.RetryCount{Age: cnt.Age.Milliseconds(), First: int32(cnt.First), Retries: int32(cnt.Retries)})
	}
	return &wire.Envelope{Body: &wire.Envelope_Retries{Retries: out}}
}

// toRetries leaves out counts that no window can have.
func toRetries(ret *wire.Retries) Message {
	out := Retries{Known: max(0, time.Duration(ret.GetKnown())*time.Millisecond)}
	for _, one := range ret.GetList() {
		for _, cnt := range one.GetList() {
			if cnt.GetAge() < 0 || cnt.GetFirst() < 0 || cnt.GetRetries() < 0 {
				continue
			}
			out.Counts = append(out.Counts, sched.RetryCount{Service: one.GetService(), Age: time.Duration(cnt.GetAge()) * time.Millisecond, First: int(cnt.GetFirst()), Retries: int(cnt.GetRetries())})
		}
	}
	return out
}
