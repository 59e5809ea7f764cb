package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lovagestream/io/group"
)

// cutPath breaks off the streams of one instance, by a partition from all engines that resets its
// connections if there is trouble, and lets their clients take them up at the others.
func cutPath(wld *World) (verdict, error) {
	const (
		streams, engines, slots = 48, 3, 64
		limit                   = 8000
		name                    = "applicant-screen"
	)
	rou := route(name, "streaming", "lovage-pool", 1700, limit, 200, 2)
	rou["streamResume"] = true
	wld.publishConfig(1, slots, rou)
	var all []*Engine
	for num := range engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "lovage-pool", string(rune('a'+num)), slots)
		if err != nil {
			return failed, err
		}
		eng.events, eng.gap = 40, millis(100)
		eng.List("ready")
		all = append(all, eng)
	}
	first, second, third := wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	// Longer than any instance needs to have seen the service's engines.
	wld.Sleep(20 * time.Second)
	fresh := func(kind string, num int) Request {
		id := fmt.Sprintf("%s%012x", kind, num+1)
		return stream(id, id, name, limit)
	}
	begins := 0
	others := []*Instance{second, third}
	deadline := clk.Now().Add(millis(limit))
	cut, leave := context.WithCancel(context.Background())
	defer leave()
	var mu sync.Mutex
	taken, goesOn := 0, 0
	grp := group.New(context.Background())
	for num := range streams {
		grp.Go(func(context.Context) error {
			ans := wld.Send(cut, first, fresh("5e01", num))
			if ans.Complete || ans.LastEvent() == 0 {
				return nil
			}
			// A client tries again after half a second, once.
			wld.Sleep(500 * time.Millisecond)
			ok, _ := wld.takeUpOne(others[num%len(others)], taking{client: num, last: ans.LastEvent()}, name, deadline)
			mu.Lock()
			defer mu.Unlock()
			taken++
			if ok {
				goesOn++
			}
			return nil
		})
	}
	wld.Sleep(800 * time.Millisecond)
	if wld.trouble {
		wld.Note("%s is partitioned from all engines: its connections are reset", first.name)
		for _, eng := range all {
			eng.path.Cut(first.ip, true)
		}
	} else {
		wld.Note("all clients lose their connections")
		leave()
	}
	wld.Sleep(500 * time.Millisecond)
	news := wld.sendAll(context.Background(), others, streams, func(num int) Request { return fresh("6b02", num) }, nil)
	_ = grp.Wait()
	for _, ans := range news {
		if ans.Status == 200 && ans.LastEvent() > 0 {
			begins++
		}
	}
	wld.Note("of %d streams that were taken up %d went on; of %d new ones %d began", taken, goesOn, len(news), begins)
	if taken < 12 {
		return failed, errNotSetUp
	}
	if float64(goesOn)/float64(taken) < 0.5*float64(begins)/float64(len(news)) {
		return broken, nil
	}
	return held, nil
}
