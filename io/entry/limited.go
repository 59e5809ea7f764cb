package entry

import (
	"context"
	"maps"
	"slices"

	"lovagestream/core/pick"
	"lovagestream/core/place"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
)

// Plain requests of services with a rate-limited server.
//
// A server states how many requests per second it accepts from all entry
// instances together. If the load is uneven, an even share is too small for some
// instances, and the limit would be exceeded if each instance took what it needs.
// So while a limit is in force, the coordinator, which schedules the calls and
// applies the rate limits, chooses the server for all instances.

// requestPlacement asks the coordinator for a server. If there is none, the
// outcome has the reason and the retry delay.
func (arq *activeRequest) requestPlacement(ctx context.Context, avoid map[string]bool, retry bool) (stock.Entry, outcome, bool) {
	spc := arq.spec()
	spc.Stages, spc.Pieces, spc.Parts, spc.PromptTokens, spc.MaxOutputTokens = nil, nil, nil, 0, 0
	// Plain requests of different callers may be identical, so a fingerprint
	// doesn't identify a caller that returns.
	spc.Fingerprint = 0
	spc.Avoid = slices.Sorted(maps.Keys(avoid))
	spc.Retry = retry
	dec, ok := arq.awaitDecision(ctx, arq.srv.ctl.Submit(spc))
	if !ok {
		return stock.Entry{}, outcome{reason: "no-verdict"}, false
	}
	arq.logDecision(dec)
	if dec.Outcome != sched.Placed {
		return stock.Entry{}, outcome{reason: dec.Reason, retryAfter: dec.RetryAfter}, false
	}
	if !arq.mayServe(dec.Server) {
		arq.srv.ctl.Ended(arq.req.ID, place.Done)
		return stock.Entry{}, outcome{reason: reasonOtherVersion}, false
	}
	if arq.srv.ctl.View().Unusable[dec.Server.ID] {
		// This instance knows that the server is leaving, the coordinator did
		// not know it yet.
		arq.srv.ctl.Ended(arq.req.ID, place.WrongServer)
		return stock.Entry{}, outcome{reason: "server-left"}, false
	}
	arq.srv.pln.withPool(arq.service, func(pol *pick.Pool) { pol.Sent(arq.srv.clk.Now(), dec.Server) })
	return dec.Server, outcome{}, true
}

// reportPlacement reports the end of a request to the coordinator that chose
// its server.
func (arq *activeRequest) reportPlacement(ctx context.Context, out outcome) {
	if arq.answered {
		arq.srv.ctl.Began(arq.req.ID)
	}
	arq.srv.ctl.Ended(arq.req.ID, arq.serverOutcome(ctx, out))
}

// serverOutcome returns what an outcome says of its server.
func (arq *activeRequest) serverOutcome(ctx context.Context, out outcome) place.Outcome {
	switch {
	case arq.answered || ctx.Err() != nil || out.reason == "server-error" || out.notAttempted():
		return place.Done
	case out.reason == "stranger":
		return place.WrongServer
	case out.reason == reasonServerRefused:
		return place.Full
	}
	return place.Failed
}
