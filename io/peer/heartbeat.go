package peer

import (
	"lovagestream/core"
	"lovagestream/io/peer/wire"
)

// Bounds on messages: lengths of texts in bytes and number of list items.
const (
	maxNameLen        = 64
	maxAddressLen     = 64
	maxLeavingServers = 64
)

func encodeHeartbeat(msg core.Heartbeat, env *wire.Envelope) {
	hbt := &wire.Heartbeat{
		Zone:    msg.Zone(),
		Address: msg.Address(),
		Leaving: msg.Leaving(),
		Ask:     msg.WantsReply(),
		Beat:    msg.Seq(),
		Echo:    msg.Ack(),
		Knows:   msg.KnownIncarnation(),
	}
	for _, srv := range msg.Servers() {
		hbt.Servers = append(hbt.Servers, &wire.LeavingServer{Id: srv.ID(), ListRevision: srv.ListRevision()})
	}
	env.Body = &wire.Envelope_Heartbeat{Heartbeat: hbt}
}

func decodeHeartbeat(env *wire.Envelope) (core.Heartbeat, error) {
	hbt := env.GetHeartbeat()
	if len(hbt.GetZone()) > maxNameLen || len(hbt.GetAddress()) > maxAddressLen {
		return core.Heartbeat{}, messageErrorf(env, "zone or address too long")
	}
	if len(hbt.GetServers()) > maxLeavingServers {
		return core.Heartbeat{}, messageErrorf(env, "%d leaving servers; at most %d", len(hbt.GetServers()), maxLeavingServers)
	}
	var servers []core.LeavingServer
	for _, srv := range hbt.GetServers() {
		if srv.GetId() == "" || len(srv.GetId()) > maxNameLen {
			return core.Heartbeat{}, messageErrorf(env, "a server's identity of %d bytes", len(srv.GetId()))
		}
		servers = append(servers, core.NewLeavingServer(srv.GetId(), srv.GetListRevision()))
	}
	msg := core.NewHeartbeat(hbt.GetZone(), hbt.GetAddress(), hbt.GetLeaving(), hbt.GetAsk(), servers)
	return msg.WithAck(hbt.GetKnows(), hbt.GetBeat(), hbt.GetEcho()), nil
}
