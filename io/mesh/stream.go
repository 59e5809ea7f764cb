package mesh

import (
	"time"

	"lovagestream/core/resume"
	"lovagestream/io/mesh/wire"
)

func (msg Streams) encode(now time.Time) *wire.Envelope {
	out := &wire.Streams{Unknown: msg.Unknown, Requests: msg.Requests}
	for _, rec := range msg.List {
		out.List = append(out.List, &wire.Stream{Id: rec.ID, Request: rec.Request, Service: rec.Service, Software: rec.Version, Left: rec.Until.Sub(now).Microseconds()})
	}
	return &wire.Envelope{Body: &wire.Envelope_Streams{Streams: out}}
}

func toStreams(now time.Time, stm *wire.Streams) Message {
	out := Streams{Unknown: stm.GetUnknown(), Requests: stm.GetRequests()}
	for _, one := range stm.GetList() {
		if one.GetInferred() {
			out.Unknown = append(out.Unknown, one.GetId())
			continue
		}
		out.List = append(out.List, resume.Record{
			ID: one.GetId(), Request: one.GetRequest(), Service: one.GetService(), Version: one.GetSoftware(), Until: now.Add(time.Duration(one.GetLeft()) * time.Microsecond),
		})
	}
	return out
}

func (msg AskStream) encode(time.Time) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_AskStream{AskStream: &wire.AskStream{Id: msg.ID, Request: msg.Request}}}
}
