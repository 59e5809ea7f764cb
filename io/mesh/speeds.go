package mesh

import (
	"maps"
	"slices"
	"time"

	"lovagestream/core/speed"
	"lovagestream/io/mesh/wire"
)

func (msg Speeds) encode(time.Time) *wire.Envelope {
	out := &wire.Speeds{}
	for _, service := range slices.Sorted(maps.Keys(msg.Records)) {
		one := &wire.ServiceSpeeds{Service: service}
		for _, rec := range msg.Records[service] {
			one.List = append(one.List, &wire.Speed{Server: rec.Server, Started: rec.StartedAt, Factor: rec.Factor, Weight: rec.Weight})
		}
		out.List = append(out.List, one)
	}
	return &wire.Envelope{Body: &wire.Envelope_Speeds{Speeds: out}}
}

func toSpeeds(spd *wire.Speeds) Message {
	out := Speeds{Records: map[string][]speed.Record{}}
	for _, one := range spd.GetList() {
		for _, rec := range one.GetList() {
			out.Records[one.GetService()] = append(out.Records[one.GetService()], speed.Record{Server: rec.GetServer(), StartedAt: rec.GetStarted(), Factor: rec.GetFactor(), Weight: rec.GetWeight()})
		}
	}
	return out
}
