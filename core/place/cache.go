package place

import (
	"sort"
	"time"

	"lovagestream/core/call"
)

type cachedPart struct {
	tokens int
	used   time.Time
}

// uncachedTokens is the number of prompt tokens that an engine would have to
// prefill.
func (pol *Pool) uncachedTokens(eng *engine, qry Query) int {
	left := qry.PromptTokens
	for _, par := range qry.Parts {
		prt := eng.parts[par.ID]
		if prt == nil {
			break
		}
		left -= min(prt.tokens, par.Tokens)
	}
	return max(0, left)
}

// CachedZone returns the zone of the engine that caches the most of a prompt,
// or "" if none caches more than a quarter.
func (pol *Pool) CachedZone(now time.Time, qry Query) string {
	var best *engine
	lowest := qry.PromptTokens - qry.PromptTokens/4
	for _, eng := range pol.engines {
		if eng.ent.Leaving || !eng.rec.Available(now) {
			continue
		}
		if num := pol.uncachedTokens(eng, qry); num < lowest || num == lowest && best != nil && eng.ent.ID < best.ent.ID {
			best, lowest = eng, num
		}
	}
	if best == nil {
		return ""
	}
	return best.ent.Zone
}

func (pol *Pool) cachePart(eng *engine, par call.PromptPart, now time.Time) {
	prt := eng.parts[par.ID]
	if prt == nil {
		prt = &cachedPart{}
		eng.parts[par.ID] = prt
	}
	eng.cachedTokens += par.Tokens - prt.tokens
	prt.tokens = par.Tokens
	prt.used = now
}

// evict drops the least recently used parts, as engines do.
func (pol *Pool) evict(eng *engine) {
	bound := int(cacheShare * float64(pol.memory))
	if pol.memory == 0 || eng.cachedTokens <= bound {
		return
	}
	ids := make([]string, 0, len(eng.parts))
	for id := range eng.parts {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return eng.parts[ids[i]].used.Before(eng.parts[ids[j]].used) })
	for _, id := range ids {
		if eng.cachedTokens <= bound*9/10 {
			return
		}
		eng.cachedTokens -= eng.parts[id].tokens
		delete(eng.parts, id)
	}
}
