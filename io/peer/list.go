package peer

import (
	"lovagestream/core"
	"lovagestream/io/peer/wire"
)

const (
	// maxListRows bounds an instance list. It exceeds the number of entry
	// instances and backend servers expected in two years.
	maxListRows = 16384
	// maxRowLen bounds the texts of a row together, in bytes.
	maxRowLen = 256
)

func encodeListPull(_ core.ListPull, env *wire.Envelope) {
	env.Body = &wire.Envelope_ListPull{ListPull: &wire.ListPull{}}
}

func decodeListPull(*wire.Envelope) (core.ListPull, error) { return core.NewListPull(), nil }

func encodeFullList(msg core.FullList, env *wire.Envelope) {
	bod := &wire.ListBody{}
	for _, ins := range msg.List() {
		bod.Rows = append(bod.Rows, &wire.ListRow{
			Id: ins.ID(), Role: string(ins.Role()), Address: ins.Address(),
			Zone: ins.Zone(), Pool: ins.Pool(), State: string(ins.State()),
		})
	}
	env.Body = &wire.Envelope_ListWhole{ListWhole: &wire.ListWhole{Revision: msg.Revision(), List: deflate(bod)}}
}

func decodeFullList(env *wire.Envelope) (core.FullList, error) {
	msg := env.GetListWhole()
	bod := &wire.ListBody{}
	if err := inflate(msg.GetList(), bod); err != nil {
		return core.FullList{}, messageErrorf(env, "%s", err)
	}
	if len(bod.GetRows()) > maxListRows {
		return core.FullList{}, messageErrorf(env, "%d rows; at most %d", len(bod.GetRows()), maxListRows)
	}
	var list []core.Instance
	for _, row := range bod.GetRows() {
		if row.GetId() == "" || row.GetAddress() == "" {
			return core.FullList{}, messageErrorf(env, "a row without an identity or an address")
		}
		if len(row.GetId())+len(row.GetAddress())+len(row.GetZone())+len(row.GetPool()) > maxRowLen {
			return core.FullList{}, messageErrorf(env, "a row longer than %d characters", maxRowLen)
		}
		list = append(list, core.NewInstance(row.GetId(), core.Role(row.GetRole()), row.GetAddress(), row.GetZone(), row.GetPool(), core.State(row.GetState())))
	}
	return core.NewFullList(msg.GetRevision(), list), nil
}
