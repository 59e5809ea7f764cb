package field

import (
	"context"
	"sort"
	"strings"
	"time"
)

// takeServer reserves a random server that no other fault has and whose service
// has another such server. It returns nil if it finds none.
func (inj *injector) takeServer() *server {
	clu := inj.cluster
	clu.mu.Lock()
	defer clu.mu.Unlock()
	ids := make([]string, 0, len(clu.servers))
	free := map[string]int{}
	for id, ser := range clu.servers {
		if !ser.busy && ser.leavingSince.IsZero() {
			ids = append(ids, id)
			free[ser.service]++
		}
	}
	sort.Strings(ids)
	for range ids {
		ser := clu.servers[ids[inj.rng.IntN(len(ids))]]
		if free[ser.service] > 1 {
			ser.busy = true
			return ser
		}
	}
	return nil
}

// injectIntoServer runs a fault on a random server.
func (inj *injector) injectIntoServer(name string, planned bool, run func(ser *server) error) error {
	ser := inj.takeServer()
	if ser == nil {
		return nil
	}
	end := inj.cluster.beginDisturbance(name+" "+ser.fake.ID, planned, nil)
	defer end()
	err := run(ser)
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	ser.busy = false
	return err
}

// markLeaving sets when the store recorded that a server leaves or was removed.
func (clu *Cluster) markLeaving(ser *server) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	if ser.leavingSince.IsZero() {
		ser.leavingSince = time.Now()
	}
}

// removeEntry deletes a server's entry from the store.
func (clu *Cluster) removeEntry(ser *server) {
	clu.sto.Delete("servers/" + ser.fake.ID)
	clu.markLeaving(ser)
}

// crashServer crashes a server; the store lists it for some time after that.
func (inj *injector) crashServer(ctx context.Context) error {
	return inj.injectIntoServer("server-crashed", false, func(ser *server) error {
		ser.fake.Close()
		sleep(ctx, inj.drawDuration())
		inj.cluster.removeEntry(ser)
		return inj.cluster.addServer(ser.service, ser.kind, ser.zone)
	})
}

// restartServer restarts a server under its ID, without its earlier state.
func (inj *injector) restartServer(ctx context.Context) error {
	return inj.injectIntoServer("server-reborn", false, func(ser *server) error {
		from := time.Now()
		ser.fake.Restart()
		inj.cluster.drawVersion(ser.fake)
		sleep(ctx, inj.drawDuration()/4)
		ser.fake.SetEntryAddress(ser.link.Address(), time.Now())
		inj.cluster.putEntry(ser, "ready")
		inj.cluster.mu.Lock()
		ser.unannounced = append(ser.unannounced, span{from, time.Now().Add(clockSlack)})
		inj.cluster.mu.Unlock()
		return nil
	})
}

// startServerAgain ends a server and starts it again in place, with other software. Its entry says
// so a second later. Who observes it must have seen the end.
func (inj *injector) startServerAgain(ctx context.Context) error {
	return inj.injectIntoServer("server-started-again", false, func(ser *server) error {
		version := inj.cluster.nextVersion()
		if version == ser.fake.Version() {
			version = inj.cluster.nextVersion()
		}
		born := time.Now()
		ser.fake.StartAgain(200*time.Millisecond+inj.drawDuration()/4, version)
		sleep(ctx, time.Second+inj.drawDuration()/2)
		ser.fake.SetEntryAddress(ser.link.Address(), born)
		inj.cluster.putEntry(ser, "ready")
		return nil
	})
}

// releaseAll replaces the model servers by servers of one or two later versions. Half of the time all
// instances are killed meanwhile, so that none has seen the earlier versions.
func (inj *injector) releaseAll(ctx context.Context) error {
	clu := inj.cluster
	end := clu.beginDisturbance("all-released", false, nil)
	defer end()
	clu.mu.Lock()
	clu.releases++
	clu.oneVersion = inj.rng.IntN(2) == 0
	var old []*server
	for _, ser := range clu.servers {
		if ser.kind == "model" && !ser.busy && ser.leavingSince.IsZero() {
			ser.busy = true
			old = append(old, ser)
		}
	}
	clu.mu.Unlock()
	for _, ser := range old {
		if err := clu.addServer(ser.service, ser.kind, ser.zone); err != nil {
			return err
		}
	}
	sleep(ctx, inj.drawDuration()/4)
	kill := inj.rng.IntN(2) == 0
	for _, ser := range old {
		clu.removeEntry(ser)
		if kill {
			ser.fake.Close()
		}
	}
	if kill {
		return inj.killAll(ctx)
	}
	sleep(ctx, drainBound+routeTimeout)
	for _, ser := range old {
		ser.fake.Close()
	}
	return nil
}

// leaveServer drains a server: its entry says that it leaves, and it goes on
// serving for a while before it stops.
func (inj *injector) leaveServer(ctx context.Context) error {
	return inj.injectIntoServer("server-left", true, func(ser *server) error {
		if err := inj.cluster.addServer(ser.service, ser.kind, ser.zone); err != nil {
			return err
		}
		inj.cluster.putEntry(ser, "draining")
		inj.cluster.markLeaving(ser)
		sleep(ctx, drainBound+routeTimeout)
		inj.cluster.removeEntry(ser)
		sleep(ctx, time.Second)
		ser.fake.Close()
		return nil
	})
}

// announceLeaving drains a server whose responses announce that it leaves long
// before its entry does.
func (inj *injector) announceLeaving(ctx context.Context) error {
	return inj.injectIntoServer("server-announced", true, func(ser *server) error {
		if err := inj.cluster.addServer(ser.service, ser.kind, ser.zone); err != nil {
			return err
		}
		ser.fake.SetLeaving("1")
		inj.cluster.mu.Lock()
		ser.announcedAt = time.Now()
		inj.cluster.mu.Unlock()
		sleep(ctx, drainBound+2*inj.drawDuration())
		inj.cluster.putEntry(ser, "draining")
		inj.cluster.markLeaving(ser)
		sleep(ctx, drainBound+routeTimeout)
		inj.cluster.removeEntry(ser)
		sleep(ctx, time.Second)
		ser.fake.Close()
		return nil
	})
}

// retryAfterValues are the pauses that servers ask for when they reject requests,
// in seconds; one is invalid.
var retryAfterValues = []string{"1", "2.5", "6", "soon"}

// pauseServer makes a server reject requests for a while and ask for a pause.
func (inj *injector) pauseServer(ctx context.Context) error {
	return inj.injectIntoServer("server-pauses", true, func(ser *server) error {
		ser.fake.SetPause(retryAfterValues[inj.rng.IntN(len(retryAfterValues))])
		sleep(ctx, inj.drawDuration())
		ser.fake.SetPause("")
		return nil
	})
}

// makeBrittle makes a server take few requests and fall over if it rejects more than a few
// of them in a second.
func (inj *injector) makeBrittle(ctx context.Context) error {
	return inj.injectIntoServer("server-brittle", false, func(ser *server) error {
		ser.fake.SetBrittle("5", 5, 1+inj.rng.IntN(8), 20*time.Millisecond)
		sleep(ctx, quietBefore+inj.drawDuration())
		ser.fake.SetBrittle("", 0, 0, 0)
		return nil
	})
}

// misbehaviors are the fake server's modes of faulty responses.
var misbehaviors = []string{"shed", "error", "busy", "cut", "garble", "foreign", "short", "hang", "slow", "break", "stall", "break-again", "unframed", "unframed-reset", "unframed-empty", `unframed=id:_3\nda`, `unframed=id:_3\ndata:_x\n`,
	"endless-line", "endless-status", "endless-field", "endless-fields", "endless-interim", "endless-body", "endless-event", "endless-shed", "endless-error", "drip-field", "drip-interim", "drip-body", "drip-shed", "drip-error", "drip-stranger", "unframed-early",
	"malformed-status", "malformed-interim", "malformed-high", "malformed-name", "malformed-control", "malformed-fold", "malformed-trailer", "malformed-length", "malformed-coding", "malformed-both", "malformed-old", "malformed-cut", "malformed-cut-empty"}

// limitValues are the rate limits that a server announces, in turn; some are
// empty or invalid.
var limitValues = [][]string{{"0"}, {"0.5"}, {"4"}, {"10"}, {"3", "9"}, {"2", "", "8"}, {"6", "abc"}}

// limitServers makes one, some or all servers of a service announce rate limits,
// change them and withdraw them.
func (inj *injector) limitServers(ctx context.Context) error {
	first := inj.takeServer()
	if first == nil {
		return nil
	}
	end := inj.cluster.beginDisturbance("server-limits "+first.fake.ID, true, nil)
	defer end()
	list := []*server{first}
	if share := inj.rng.IntN(3); share > 0 {
		list = append(list, inj.siblings(first, share == 2)...)
	}
	for range 1 + inj.rng.IntN(2) {
		for _, ser := range list {
			ser.fake.SetLimit(limitValues[inj.rng.IntN(len(limitValues))]...)
		}
		sleep(ctx, quietBefore+2*inj.drawDuration())
	}
	for _, ser := range list {
		ser.fake.SetLimit()
	}
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	for _, ser := range list {
		ser.busy = false
	}
	return nil
}

// siblings reserves all or a third of the other free servers of the same service.
func (inj *injector) siblings(first *server, all bool) []*server {
	clu := inj.cluster
	clu.mu.Lock()
	defer clu.mu.Unlock()
	var out []*server
	for _, ser := range clu.servers {
		if ser.service == first.service && !ser.busy && ser.leavingSince.IsZero() {
			out = append(out, ser)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].fake.ID < out[two].fake.ID })
	if !all {
		out = out[:len(out)/3]
	}
	for _, ser := range out {
		ser.busy = true
	}
	return out
}

func (inj *injector) misbehaveServer(ctx context.Context) error {
	mode := misbehaviors[inj.rng.IntN(len(misbehaviors))]
	return inj.injectIntoServer("server-odd "+mode, false, func(ser *server) error {
		if ser.kind == "plain" && strings.HasPrefix(mode, "unframed") && mode != "unframed-reset" && mode != "unframed-early" {
			// Nothing shows that the start of a plain answer isn't the whole.
			mode = "unframed"
		}
		ser.fake.SetMode(mode)
		sleep(ctx, inj.drawDuration())
		ser.fake.SetMode("sound")
		return nil
	})
}

// reuseAddress crashes a server and gives its address to another server, before
// the store removes its entry.
func (inj *injector) reuseAddress(ctx context.Context) error {
	return inj.injectIntoServer("server-replaced", false, func(ser *server) error {
		oth := inj.takeServer()
		if oth == nil {
			return nil
		}
		ser.link.SetTarget(oth.fake.Address())
		ser.fake.Close()
		sleep(ctx, inj.drawDuration())
		inj.cluster.removeEntry(ser)
		inj.cluster.mu.Lock()
		oth.busy = false
		inj.cluster.mu.Unlock()
		return inj.cluster.addServer(ser.service, ser.kind, ser.zone)
	})
}
