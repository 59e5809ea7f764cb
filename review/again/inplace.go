package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lovagestream/io/group"
)

// inPlace ends an engine that crashes while streams run, shortly after another one, on which no
// request was, has started again in place with other software if there is trouble.
func inPlace(wld *World) (verdict, error) {
	const (
		streams, engines, slots = 240, 6, 64
		limit                   = 8000
		name                    = "applicant-screen"
	)
	rou := route(name, "streaming", "lovage-pool", 1700, limit, 200, 2)
	rou["streamResume"] = true
	wld.publishConfig(1, slots, rou)
	var all []*Engine
	for num := range engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "lovage-pool", string(rune('a'+num%3)), slots)
		if err != nil {
			return failed, err
		}
		eng.events, eng.gap = 30, millis(100)
		eng.List("ready")
		all = append(all, eng)
	}
	list := []*Instance{wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")}
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	wld.Sleep(4 * time.Second)
	idle, other := all[0], all[1]
	grp := group.New(context.Background())
	if wld.trouble {
		idle.Exit()
		wld.Sleep(200 * time.Millisecond)
		idle.version = "v2"
		if err := idle.start(); err != nil {
			return failed, err
		}
		wld.Note("engine %s has started again as v2; it writes its entry in a second", idle.id)
		grp.Go(func(context.Context) error {
			wld.Sleep(time.Second)
			idle.List("ready")
			wld.Note("engine %s has written its entry", idle.id)
			return nil
		})
	}
	wld.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	mixed := 0
	deadline := clk.Now().Add(millis(limit))
	for num := range streams {
		grp.Go(func(context.Context) error {
			id := fmt.Sprintf("5e01%012x", num+1)
			ans, more := wld.Send(context.Background(), list[num%len(list)], stream(id, id, name, limit)), Answer{}
			if !ans.Complete && ans.LastEvent() > 0 {
				wld.Sleep(20 * time.Millisecond)
				_, more = wld.takeUpOne(list[(num+1)%len(list)], taking{client: num, last: ans.LastEvent()}, name, deadline)
			}
			if got := versionsOf(ans.Body, more.Body); len(got) > 1 {
				mu.Lock()
				defer mu.Unlock()
				mixed++
				wld.Note("the stream of client %d holds events of %v; in one answer: %v", num+1, got, more.Status == 0)
			}
			return nil
		})
	}
	wld.Sleep(600 * time.Millisecond)
	other.Exit()
	if err := grp.Wait(); err != nil {
		return failed, err
	}
	wld.Note("%d of %d streams hold events of engines of two software versions", mixed, streams)
	if mixed > 2 {
		return broken, nil
	}
	return held, nil
}
