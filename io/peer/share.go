package peer

import (
	"math"
	"time"

	"lovagestream/core"
	"lovagestream/core/share"
	"lovagestream/io/peer/wire"
)

// maxAccounts bounds the client accounts of one share request or grant.
const maxAccounts = 256

func encodeShareRequest(msg core.ShareRequest, env *wire.Envelope) {
	bod := &wire.Demand{Asked: int64(msg.RequestedAt()), Zone: msg.Zone()}
	for _, req := range msg.Requests() {
		out := &wire.AccountAsk{
			Account: req.Account(),
			Need:    float32(req.Need()),
			Holds:   float32(req.Held()),
			Left:    uint32(req.Remaining().Microseconds()),
		}
		if req.HeldSince() != share.NoLease && req.HeldSince() <= msg.RequestedAt() {
			age := uint64(msg.RequestedAt() - req.HeldSince())
			out.Age = &age
		}
		bod.Accounts = append(bod.Accounts, out)
	}
	env.Body = &wire.Envelope_Demand{Demand: bod}
}

func decodeShareRequest(env *wire.Envelope) (core.ShareRequest, error) {
	bod := env.GetDemand()
	if len(bod.GetAccounts()) > maxAccounts || len(bod.GetZone()) > maxNameLen || bod.GetAsked() < 0 {
		return core.ShareRequest{}, messageErrorf(env, "%d accounts, zone of %d bytes, asked at %d", len(bod.GetAccounts()), len(bod.GetZone()), bod.GetAsked())
	}
	var requests []share.Request
	for _, acc := range bod.GetAccounts() {
		if len(acc.GetAccount()) > maxNameLen || !finite(acc.GetNeed()) || !finite(acc.GetHolds()) {
			return core.ShareRequest{}, messageErrorf(env, "an account without a name or a need")
		}
		since := share.NoLease
		if acc.Age != nil && acc.GetAge() <= uint64(bod.GetAsked()) {
			since = time.Duration(bod.GetAsked()) - time.Duration(acc.GetAge())
		}
		left := time.Duration(acc.GetLeft()) * time.Microsecond
		requests = append(requests, share.NewRequest(acc.GetAccount(), float64(acc.GetNeed()), float64(acc.GetHolds()), left, since))
	}
	return core.NewShareRequest(time.Duration(bod.GetAsked()), bod.GetZone(), requests), nil
}

func encodeShareGrant(msg core.ShareGrant, env *wire.Envelope) {
	bod := &wire.Grant{Asked: int64(msg.RequestedAt()), Zone: msg.Zone()}
	for _, acc := range msg.Accounts() {
		bod.Accounts = append(bod.Accounts, &wire.AccountShare{Account: acc.Account(), Share: float32(acc.Share())})
	}
	env.Body = &wire.Envelope_Grant{Grant: bod}
}

func decodeShareGrant(env *wire.Envelope) (core.ShareGrant, error) {
	bod := env.GetGrant()
	if len(bod.GetAccounts()) > maxAccounts || len(bod.GetZone()) > maxNameLen || bod.GetAsked() < 0 {
		return core.ShareGrant{}, messageErrorf(env, "%d accounts, zone of %d bytes, asked at %d", len(bod.GetAccounts()), len(bod.GetZone()), bod.GetAsked())
	}
	var shares []share.AccountShare
	for _, acc := range bod.GetAccounts() {
		if len(acc.GetAccount()) > maxNameLen || !finite(acc.GetShare()) {
			return core.ShareGrant{}, messageErrorf(env, "an account without a name or a share")
		}
		shares = append(shares, share.NewAccountShare(acc.GetAccount(), float64(acc.GetShare())))
	}
	return core.NewShareGrant(time.Duration(bod.GetAsked()), bod.GetZone(), shares), nil
}

func finite(num float32) bool {
	return !math.IsNaN(float64(num)) && !math.IsInf(float64(num), 0)
}
