package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"lovagestream/io/group"
)

func millis(num int) time.Duration { return time.Duration(num) * time.Millisecond }

// stopWaiting stops an instance while requests that it has read wait for a place at an
// engine.
func stopWaiting(wld *World) (verdict, error) {
	const (
		slots, engines = 8, 3
		aim, limit     = 2500, 20000
	)
	wld.publishConfig(1, slots, route("cell-suggest", "streaming", "lovage-pool", aim, limit, 250, 1))
	for num := range engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "lovage-pool", string(rune('a'+num)), slots)
		if err != nil {
			return failed, err
		}
		eng.events, eng.gap = 70, millis(150)
		eng.List("ready")
	}
	first, second, third := wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	wld.Sleep(2 * time.Second)
	grp := group.New(context.Background())
	var mu sync.Mutex
	answers := map[string]Answer{}
	send := func(ins *Instance, id string) {
		grp.Go(func(ctx context.Context) error {
			ans := wld.Send(ctx, ins, stream(id, id, "cell-suggest", limit))
			mu.Lock()
			defer mu.Unlock()
			answers[id] = ans
			return nil
		})
	}
	for num := range engines * slots {
		send([]*Instance{second, third}[num%2], fmt.Sprintf("5e01%012x", num+1))
		wld.Sleep(20 * time.Millisecond)
	}
	wld.Sleep(1500 * time.Millisecond)
	if wld.trouble {
		wld.Note("SIGTERM to %s", first.name)
		first.Signal(syscall.SIGTERM)
	}
	wld.Sleep(800 * time.Millisecond)
	var late []string
	for num := range 4 {
		id := fmt.Sprintf("77aa%012x", num+1)
		late = append(late, id)
		send(first, id)
		wld.Sleep(50 * time.Millisecond)
	}
	if err := grp.Wait(); err != nil {
		return failed, err
	}
	out := held
	for _, id := range late {
		if ans := answers[id]; ans.Status == 0 || !ans.Complete {
			wld.Note("%s was read by %s, sent to no engine, and its connection ended without an answer: %v", id, first.name, ans)
			out = broken
		}
	}
	return out, nil
}
