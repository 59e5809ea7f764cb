package core

import (
	"time"

	"lovagestream/core/fleet"
)

// PublishedValue is one of the values that the platform publishes.
type PublishedValue string

// The published values.
const (
	ValueConfig PublishedValue = "config"
	ValueList   PublishedValue = "list"
)

// watchersPerZone is how many instances of a zone watch each value. With two, a
// crash of one or a stale replica serving one delays nothing.
const watchersPerZone = 2

// watcher is the component that decides which published values this instance
// watches. Every call to the platform counts, and the rate of calls must grow
// more slowly than the fleet: a few instances of each zone read the platform,
// and the others get the values from them. If the views of two instances
// differ, the only cost is a few more calls.
type watcher struct {
	ctl *Control
	// watched holds the values that this instance watches.
	watched map[PublishedValue]bool
}

var _ component = (*watcher)(nil)

func newWatcher(ctl *Control) *watcher {
	return &watcher{ctl: ctl, watched: map[PublishedValue]bool{ValueConfig: true, ValueList: true}}
}

func (wat *watcher) step(_ time.Time, _ Event) []Decision {
	if !wat.ctl.dirty {
		return nil
	}
	own, _ := wat.ctl.conf.version()
	// An instance without a value reads it itself, since there may be no peer
	// to get it from.
	wat.watched = map[PublishedValue]bool{
		ValueConfig: own == 0 || wat.assigned(ValueConfig),
		ValueList:   !wat.ctl.list.hasList || wat.assigned(ValueList),
	}
	return nil
}

// assigned reports whether this instance should watch a value.
func (wat *watcher) assigned(val PublishedValue) bool {
	for _, id := range fleet.Top("read/"+string(val), wat.ctl.members.Live(), watchersPerZone) {
		if id == wat.ctl.opt.self.id {
			return true
		}
	}
	return false
}

func (wat *watcher) fill(vie *View) { vie.watched = wat.watched }
