package pace

const (
	// leastPeers is how many streams there must be to compare with.
	leastPeers = 3
	// slowShare of the peers' median increment is what a stream must make.
	slowShare = 0.4
	// slowBeats on end make a stream slow: one interval may hold a pause that
	// every stream of a batch makes when a long prompt joins it.
	slowBeats = 2
	// gain is how many times sooner the rest must be done elsewhere.
	gain = 1.5
	// safeShare is the part of the time left within which a stream counts as
	// in time at its present pace.
	safeShare = 0.8
)

// Progress cuts a stream whose first token is later than most whole answers,
// and a stream that makes much less progress than its peers in the same
// interval, where the rest of its answer is due sooner on another server. A
// slow server shows within a few tokens, at whatever age of the stream; a pool
// that is slow as a whole shows no outlier, so that overload cuts nothing. Once
// the others have ended, what they showed stands in for them, while the pool has
// room.
type Progress struct{}

var _ Policy = Progress{}

// Name returns "progress".
func (Progress) Name() string { return "progress" }

// Decide compares increments.
func (Progress) Decide(ask Ask) Verdict {
	if ask.tokens == 0 {
		return ask.unbegun()
	}
	if median := ask.peers.Median(); ask.peers.Len() >= leastPeers && ask.behind(median) {
		return ask.against(median)
	}
	// The streams that are left may all be at one slow server, and show no outlier
	// among themselves.
	if expected := ask.expected(); !ask.full && ask.behind(expected) {
		return ask.against(expected)
	}
	return Verdict{}
}

// behind reports whether a stream makes much less than others would in the interval.
func (ask Ask) behind(others float64) bool { return float64(ask.increment) < slowShare*others }

// expected is how many tokens a stream of usual pace makes in the interval; 0 where
// none is known.
func (ask Ask) expected() float64 {
	if ask.usual <= 0 {
		return 0
	}
	return ask.interval.Seconds() / ask.usual.Seconds()
}

// against cuts a stream that was behind for some beats on end and whose rest is due
// sooner at another pace.
func (ask Ask) against(others float64) Verdict {
	slow := ask.slow + 1
	if slow < slowBeats || !ask.soonerElsewhere(others) {
		return Verdict{slow: slow}
	}
	return Verdict{act: Cut, slow: slow}
}

// unbegun judges a stream that waits for its first token. Nothing is lost by
// moving it, but in a full pool it would only wait somewhere else.
func (ask Ask) unbegun() Verdict {
	if !ask.full && ask.high > 0 && ask.elapsed > ask.high {
		return Verdict{act: Cut}
	}
	return Verdict{}
}

// soonerElsewhere compares the time for the rest of the answer here with that
// at the peers' pace behind a new start, which is taken as one interval. A
// stream that is slow and still in time is left alone: what it has cost is
// paid, and a new start costs its prompt once more.
func (ask Ask) soonerElsewhere(median float64) bool {
	rest := float64(ask.most - ask.tokens)
	here := rest * ask.perToken()
	there := (1 + rest/median) * ask.interval.Seconds()
	return here > gain*there && here > safeShare*ask.left.Seconds()
}

// perToken is the time in seconds for a token at the stream's present pace. An
// interval without any says only that it is longer; the mean since the begin
// stands in then.
func (ask Ask) perToken() float64 {
	if ask.increment > 0 {
		return ask.interval.Seconds() / float64(ask.increment)
	}
	return max(2*ask.interval.Seconds(), ask.elapsed.Seconds()/float64(ask.tokens))
}
