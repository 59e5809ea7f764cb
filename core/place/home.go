package place

import (
	"time"

	"lovagestream/core/call"
)

// awayCost is the extra cost of an engine that is not the prompt's home engine:
// the prefill of the shared parts that are not known to be cached there. It
// lets a new coordinator, which doesn't know what the lost one placed, find
// shared parts at their home engines.
//
// There is no extra cost if some engine is known to cache them: parts that much
// of the traffic shares must spread to a second engine before the first is
// overloaded.
func (pol *Pool) awayCost(eng *engine, qry Query, cached bool) time.Duration {
	if len(qry.Parts) < 2 || cached {
		return minAwayCost
	}
	own := qry.Parts[len(qry.Parts)-1].Tokens
	return max(minAwayCost, pol.prefill.prefillTime(pol.uncachedTokens(eng, qry)-own))
}

// sharedPartsCached reports whether a usable engine caches most of a prompt's
// shared parts.
func (pol *Pool) sharedPartsCached(now time.Time, qry Query) bool {
	if len(qry.Parts) < 2 {
		return false
	}
	shared := qry.PromptTokens - qry.Parts[len(qry.Parts)-1].Tokens
	for _, eng := range pol.engines {
		if !eng.ent.Leaving && eng.rec.Available(now) && qry.PromptTokens-pol.uncachedTokens(eng, qry) > shared*3/4 {
			return true
		}
	}
	return false
}

// homeEngine is the engine with the highest rendezvous hash for a prompt's
// shared parts, among those that are not leaving; nil for prompts without
// shared parts. The last part is the request's own. By speed, the hashes are
// weighted, so that an engine is home to prompts as its speed allows.
func (pol *Pool) homeEngine(qry Query, bySpeed bool) *engine {
	if len(qry.Parts) < 2 {
		return nil
	}
	name := qry.Parts[len(qry.Parts)-2].ID
	var best *engine
	most := -1.0
	for _, eng := range pol.engines {
		if eng.ent.Leaving {
			continue
		}
		got := call.HashFraction(name, eng.ent.ID)
		if bySpeed {
			got = eng.homeScore(got, best != nil, most)
		}
		if best == nil || got > most {
			best, most = eng, got
		}
	}
	return best
}
