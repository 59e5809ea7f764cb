package fair

import (
	"time"
)

const (
	// overAfter is how long an account must be over its share to be announced,
	// backAfter how long it must not have been to be announced as back.
	overAfter = time.Second
	backAfter = 3 * time.Second
	// maxWatched bounds the accounts and resources that are watched.
	maxWatched = 64
)

// Watch tells which accounts passed their share and which are back within it.
// The two delays bound what is announced of an account to a change in four
// seconds.
type Watch struct {
	seen map[watchKey]*watched
}

type watchKey struct{ resource, account string }

type watched struct {
	since, lastOver time.Time
	announced       bool
	last            Standing
}

// Over is an account that passed its share, or is back within it.
type Over struct {
	Standing
	// Lasted is how long the account was over its share.
	Lasted time.Duration
}

// NewWatch returns a watch that has seen no account.
func NewWatch() *Watch { return &Watch{seen: map[watchKey]*watched{}} }

// Update takes the standings of now, and returns the accounts that passed their
// share and those that are back.
func (wat *Watch) Update(now time.Time, list []Standing) (over, back []Over) {
	for _, sta := range list {
		if !sta.OverShare() {
			continue
		}
		key := watchKey{sta.Resource, sta.Account}
		one := wat.seen[key]
		if one == nil {
			if len(wat.seen) >= maxWatched {
				continue
			}
			one = &watched{since: now}
			wat.seen[key] = one
		}
		one.lastOver, one.last = now, sta
		if !one.announced && now.Sub(one.since) >= overAfter {
			one.announced = true
			over = append(over, Over{Standing: sta, Lasted: now.Sub(one.since)})
		}
	}
	for key, one := range wat.seen {
		if now.Sub(one.lastOver) < backAfter {
			continue
		}
		delete(wat.seen, key)
		if one.announced {
			back = append(back, Over{Standing: one.last, Lasted: one.lastOver.Sub(one.since)})
		}
	}
	return over, back
}
