package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagestream/io/group"
)

// versions releases a new software version of a service's engines while streams run. If there is
// trouble, the operator has shortened the timeout of their route before.
func versions(wld *World) (verdict, error) {
	const (
		streams, engines, slots = 24, 3, 64
		limit, shorter          = 8000, 2000
		name                    = "applicant-screen"
	)
	rou := route(name, "streaming", "lovage-pool", 1700, limit, 200, 2)
	rou["streamResume"] = true
	wld.publishConfig(1, slots, rou)
	var old, fresh []*Engine
	for num := range 2 * engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "lovage-pool", string(rune('a'+num%engines)), slots)
		if err != nil {
			return failed, err
		}
		eng.events, eng.gap = 50, millis(100)
		if num < engines {
			old = append(old, eng)
			eng.List("ready")
			continue
		}
		eng.version = "v2"
		fresh = append(fresh, eng)
	}
	var list []*Instance
	for _, id := range []string{"a-1", "b-1", "c-1", "a-2", "b-2", "c-2"} {
		list = append(list, wld.AddInstance("edge-"+id, id[:1]))
	}
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	wld.Sleep(18 * time.Second)
	var mu sync.Mutex
	mixed := 0
	grp := group.New(context.Background())
	deadline := clk.Now().Add(millis(limit))
	cut, leave := context.WithCancel(context.Background())
	defer leave()
	for num := range streams {
		grp.Go(func(context.Context) error {
			ans := wld.Send(cut, list[num%len(list)], stream(fmt.Sprintf("5e01%012x", num+1), fmt.Sprintf("5e01%012x", num+1), name, limit))
			if ans.Complete || ans.LastEvent() == 0 {
				return nil
			}
			// The client is without a network until a second before its deadline.
			wld.Sleep(deadline.Sub(clk.Now()) - millis(1000))
			_, more := wld.takeUpOne(list[(num+1)%len(list)], taking{client: num, last: ans.LastEvent()}, name, deadline)
			if got := versionsOf(ans.Body, more.Body); len(got) > 1 {
				mu.Lock()
				defer mu.Unlock()
				mixed++
				wld.Note("the stream of client %d holds events of %v", num+1, got)
			}
			return nil
		})
	}
	wld.Sleep(300 * time.Millisecond)
	if wld.trouble {
		next := route(name, "streaming", "lovage-pool", 1700, shorter, 200, 2)
		next["streamResume"] = true
		wld.publishConfig(4, slots, next)
		wld.Note("the operator shortens the timeout of the route")
	}
	// All clients lose their connections in a moment, and come back once.
	grp.Go(func(context.Context) error {
		wld.Sleep(700 * time.Millisecond)
		wld.Note("all clients lose their connections")
		leave()
		return nil
	})
	// The release: the new engine starts first, the old one drains and exits after drainMs and
	// a little longer; its entry is removed then.
	for num := range engines {
		fresh[num].List("ready")
		old[num].List("draining")
		wld.Note("engine %s of v2 has started, %s of v1 drains", fresh[num].id, old[num].id)
		grp.Go(func(context.Context) error {
			wld.Sleep(drainTime + 200*time.Millisecond)
			old[num].Exit()
			wld.sto.Delete("servers/" + old[num].id)
			return nil
		})
		wld.Sleep(100 * time.Millisecond)
	}
	if err := grp.Wait(); err != nil {
		return failed, err
	}
	wld.Note("%d of %d streams hold events of engines of two software versions", mixed, streams)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}

// versionsOf returns the versions of the engines that made the events of a stream.
func versionsOf(bodies ...string) []string {
	var seen []string
	for _, line := range strings.Split(strings.Join(bodies, "\n"), "\n") {
		if _, version, ok := strings.Cut(line, " by "); ok && !slices.Contains(seen, version) {
			seen = append(seen, version)
		}
	}
	return seen
}
