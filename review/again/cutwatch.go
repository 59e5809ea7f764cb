package main

import (
	"context"
	"fmt"
	"time"

	"lovagestream/io/group"
)

// cutWatch removes an engine's entry shortly after the store has cut the watches that were
// waiting.
func cutWatch(wld *World) (verdict, error) {
	const engines = 3
	rou := route("listing-fetch", "non_idempotent", "casting-portal", 150, 1000, 0, 1)
	rou["stickySessions"] = false
	wld.publishConfig(1, 64, rou)
	var all []*Engine
	for num := range engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "casting-portal", string(rune('a'+num)), 6)
		if err != nil {
			return failed, err
		}
		eng.work = millis(80)
		eng.List("ready")
		all = append(all, eng)
	}
	list := []*Instance{wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")}
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	wld.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	grp := group.New(context.Background())
	grp.Go(func(context.Context) error {
		for num := 0; ctx.Err() == nil; num++ {
			grp.Go(func(context.Context) error {
				req := Request{ID: fmt.Sprintf("5e01%012x", num+1), Host: host, Path: "/listing-fetch/lo7/2f", Method: "POST", Deadline: time.Second, Body: "{}", Fields: map[string]string{"Authorization": "Bearer " + apiKey}}
				wld.Send(context.Background(), list[num%len(list)], req)
				return nil
			})
			wld.Sleep(20 * time.Millisecond)
		}
		return nil
	})
	wld.Sleep(time.Second)
	if wld.trouble {
		// Each instance has two watches, of the configuration and of the engines.
		num := wld.front.CutWatches(2*len(list), time.Second)
		wld.Note("the store cuts %d watches that have waited for a second", num)
		if num == 0 {
			return failed, errNotSetUp
		}
	}
	wld.Sleep(1700 * time.Millisecond)
	gone := all[0]
	wld.sto.Delete("servers/" + gone.id)
	acknowledged := clk.Now()
	wld.Note("the store has removed the entry of %s; it goes on serving", gone.id)
	// It serves for drainMs and a little longer, and exits.
	wld.Sleep(drainTime + 200*time.Millisecond)
	gone.Exit()
	wld.Sleep(500 * time.Millisecond)
	stop()
	if err := grp.Wait(); err != nil {
		return failed, err
	}
	late := 0
	for _, run := range gone.Runs() {
		if after := run.At.Sub(acknowledged); after > drainTime {
			wld.Note("%s reached %s %.3f s after its removal was acknowledged", run.ID, run.Engine, after.Seconds())
			late++
		}
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
