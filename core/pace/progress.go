package pace

const (
	// minPeers is the smallest number of streams to compare with.
	minPeers = 3
	// slowShare is the share of the peers' median increment below which a
	// stream is slow.
	slowShare = 0.4
	// minSlowChecks is how many consecutive slow checks make a stream slow. One
	// interval may contain a pause of all streams of a batch, when a long
	// prompt joins it.
	minSlowChecks = 2
	// minSpeedup is how many times sooner another server must complete the
	// answer.
	minSpeedup = 1.5
	// safeShare is the share of the remaining time within which a stream at its
	// present speed counts as on time.
	safeShare = 0.8
)

// Progress migrates a stream whose first token takes longer than most complete
// answers, and a stream that makes much less progress than its peers in the
// same interval, if the rest of its answer would be complete sooner on another
// server.
//
// A slow server shows within a few tokens, at any age of the stream. A pool
// whose servers are all slow has no outliers, so overload migrates nothing.
// Once the peers have ended, the pool's usual time per token replaces their
// progress, as long as the pool has room.
type Progress struct{}

var _ Policy = Progress{}

// Name returns "progress".
func (Progress) Name() string { return "progress" }

// Decide compares the stream's increment with its peers'.
func (Progress) Decide(sta CallState) Decision {
	if sta.tokens == 0 {
		return sta.decideBeforeFirstToken()
	}
	if median := sta.peers.Median(); sta.peers.Len() >= minPeers && sta.behind(median) {
		return sta.decideSlow(median)
	}
	// The remaining streams may all be at one slow server, without outliers
	// among themselves.
	if expected := sta.expectedTokens(); !sta.poolFull && sta.behind(expected) {
		return sta.decideSlow(expected)
	}
	return Decision{}
}

// behind reports whether the increment is well below a reference.
func (sta CallState) behind(reference float64) bool {
	return float64(sta.increment) < slowShare*reference
}

// expectedTokens is the number of tokens that a stream of usual speed makes in
// the interval; 0 if unknown.
func (sta CallState) expectedTokens() float64 {
	if sta.tokenTime <= 0 {
		return 0
	}
	return sta.interval.Seconds() / sta.tokenTime.Seconds()
}

// decideSlow migrates a stream that was slow for enough consecutive checks and
// would end sooner elsewhere, at the reference number of tokens per interval.
func (sta CallState) decideSlow(reference float64) Decision {
	slowChecks := sta.slowChecks + 1
	if slowChecks < minSlowChecks || !sta.fasterElsewhere(reference) {
		return Decision{slowChecks: slowChecks}
	}
	return Decision{action: Migrate, slowChecks: slowChecks}
}

// decideBeforeFirstToken decides on a stream without tokens. Migration loses
// nothing then, but in a full pool the stream would only wait elsewhere.
func (sta CallState) decideBeforeFirstToken() Decision {
	if !sta.poolFull && sta.p95 > 0 && sta.elapsed > sta.p95 {
		return Decision{action: Migrate}
	}
	return Decision{}
}

// fasterElsewhere compares the time for the rest of the answer here with that
// on another server at the reference speed, plus one interval for the
// restart. A slow stream that is still on time is left alone: a restart would
// compute its prompt a second time.
func (sta CallState) fasterElsewhere(reference float64) bool {
	tokensLeft := float64(sta.maxTokens - sta.tokens)
	here := tokensLeft * sta.perToken()
	there := (1 + tokensLeft/reference) * sta.interval.Seconds()
	return here > minSpeedup*there && here > safeShare*sta.remaining.Seconds()
}

// perToken is the stream's present time per token in seconds. An interval
// without tokens only gives a lower bound; the mean since the start is used
// then.
func (sta CallState) perToken() float64 {
	if sta.increment > 0 {
		return sta.interval.Seconds() / float64(sta.increment)
	}
	return max(2*sta.interval.Seconds(), sta.elapsed.Seconds()/float64(sta.tokens))
}
