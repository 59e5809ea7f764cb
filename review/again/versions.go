package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
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
	for num := range streams {
		grp.Go(func(context.Context) error {
			if got := wld.follow(list, num, name, limit); len(got) > 1 {
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

// follow plays a client of one stream: it takes the stream up after a broken connection, at the
// next machine, a few times within its deadline and never sooner than it was told to. It returns
// the versions of the engines that made its events.
func (wld *World) follow(list []*Instance, num int, name string, limit int) []string {
	begun := clk.Now()
	first := fmt.Sprintf("5e01%012x", num+1)
	var seen []string
	last := 0
	pauses := []time.Duration{0, time.Second, 1400 * time.Millisecond, 1800 * time.Millisecond}
	for try := 0; ; try++ {
		id := first
		if try > 0 {
			id = fmt.Sprintf("7a%02d%012x", try, num+1)
		}
		left := limit - int(clk.Now().Sub(begun).Milliseconds())
		if left < 100 {
			return seen
		}
		req := stream(id, first, name, left)
		if last > 0 {
			req.Fields["Resumes"], req.Fields[hdrLast] = first, strconv.Itoa(last)
		}
		ans := wld.Send(context.Background(), list[(num+try)%len(list)], req)
		last = max(last, ans.LastEvent())
		for _, line := range strings.Split(ans.Body, "\n") {
			if _, version, ok := strings.Cut(line, " by "); ok && !slices.Contains(seen, version) {
				seen = append(seen, version)
			}
		}
		if ans.Complete && ans.Status == 200 || try == len(pauses) {
			return seen
		}
		wld.Sleep(max(pauses[try], ans.RetryAfter))
	}
}
