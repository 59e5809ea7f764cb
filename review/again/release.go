package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"lovagestream/io/group"
)

// lateRelease breaks off the streams of one instance, which is killed if there is trouble, right
// before a release of the engines' software begins, and lets their clients take them up at the
// others.
func lateRelease(wld *World) (verdict, error) {
	const (
		streams, engines, slots = 48, 3, 64
		limit                   = 8000
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
		eng.events, eng.gap = 40, millis(100)
		if num < engines {
			old = append(old, eng)
			eng.List("ready")
			continue
		}
		eng.version = "v2"
		fresh = append(fresh, eng)
	}
	first, second, third := wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	// Longer than any instance needs to have seen the service's engines.
	wld.Sleep(20 * time.Second)
	others := []*Instance{second, third}
	deadline := clk.Now().Add(millis(limit))
	cut, leave := context.WithCancel(context.Background())
	defer leave()
	var mu sync.Mutex
	taken, goesOn, begins := 0, 0, 0
	grp := group.New(context.Background())
	for num := range streams {
		grp.Go(func(context.Context) error {
			id := fmt.Sprintf("5e01%012x", num+1)
			ans := wld.Send(cut, first, stream(id, id, name, limit))
			if ans.Complete || ans.LastEvent() == 0 {
				return nil
			}
			// A client tries again after 0.8 s, once.
			wld.Sleep(800 * time.Millisecond)
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
	wld.Sleep(time.Second)
	if wld.trouble {
		wld.Note("SIGKILL to %s", first.name)
		first.Signal(syscall.SIGKILL)
	} else {
		wld.Note("all clients lose their connections")
		leave()
	}
	// The release: one engine of v2 after the other starts. Those of v1 would drain later.
	for _, eng := range fresh {
		wld.Sleep(300 * time.Millisecond)
		eng.List("ready")
		wld.Note("engine %s of v2 has started; %d engines of v1 serve", eng.id, len(old))
	}
	news := wld.sendAll(context.Background(), others, streams, func(num int) Request {
		id := fmt.Sprintf("6b02%012x", num+1)
		return stream(id, id, name, limit)
	}, nil)
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
