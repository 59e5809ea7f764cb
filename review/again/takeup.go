package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovagestream/io/group"
)

// takeUp breaks off streams, with all instances killed at once if there is trouble, and lets
// their clients take them up once the machines are in touch again.
func takeUp(wld *World) (verdict, error) {
	const (
		streams, engines, slots = 24, 3, 64
		limit                   = 8000
		name                    = "applicant-screen"
	)
	rou := route(name, "streaming", "lovage-pool", 1700, limit, 200, 2)
	rou["streamResume"] = true
	wld.publishConfig(1, slots, rou)
	for num := range engines {
		eng, err := wld.NewEngine(fmt.Sprintf("i-%d", num+1), "lovage-pool", string(rune('a'+num)), slots)
		if err != nil {
			return failed, err
		}
		eng.events, eng.gap = 40, millis(100)
		eng.List("ready")
	}
	list := []*Instance{wld.AddInstance("edge-a-1", "a"), wld.AddInstance("edge-b-1", "b"), wld.AddInstance("edge-c-1", "c")}
	if err := wld.startAll(); err != nil {
		return failed, err
	}
	// Longer than any instance needs to have seen the service's engines.
	wld.Sleep(20 * time.Second)
	fresh := func(kind string, num int) Request {
		id := fmt.Sprintf("%s%012x", kind, num+1)
		return stream(id, id, name, limit)
	}
	cut, leave := context.WithCancel(context.Background())
	defer leave()
	deadline := clk.Now().Add(millis(limit))
	firsts := wld.sendAll(cut, list, streams, func(num int) Request { return fresh("5e01", num) }, func() {
		wld.Sleep(800 * time.Millisecond)
		if !wld.trouble {
			wld.Note("all clients lose their connections")
			leave()
			return
		}
		wld.Note("SIGKILL to all instances")
		for _, ins := range list {
			ins.Signal(syscall.SIGKILL)
		}
	})
	if wld.trouble {
		for _, ins := range list {
			ins.Kill()
		}
		wld.Sleep(300 * time.Millisecond)
		for _, ins := range list {
			if err := ins.Start(); err != nil {
				return failed, err
			}
		}
	}
	wld.Sleep(contactTime + 200*time.Millisecond)
	for _, ins := range list {
		if !ins.Ready() {
			return failed, errNotSetUp
		}
	}
	wld.Note("all machines are ready, and have been in touch for 200 ms")
	var taken []taking
	for num, ans := range firsts {
		if !ans.Complete && ans.LastEvent() > 0 {
			taken = append(taken, taking{client: num, last: ans.LastEvent()})
		}
	}
	if len(taken) < 12 {
		return failed, errNotSetUp
	}
	goesOn, begins := 0, 0
	var mu sync.Mutex
	grp := group.New(context.Background())
	for _, tak := range taken {
		grp.Go(func(context.Context) error {
			if ok, _ := wld.takeUpOne(list[(tak.client+1)%len(list)], tak, name, deadline); ok {
				mu.Lock()
				defer mu.Unlock()
				goesOn++
			}
			return nil
		})
	}
	news := wld.sendAll(context.Background(), list, streams, func(num int) Request { return fresh("6b02", num) }, nil)
	_ = grp.Wait()
	for _, ans := range news {
		if ans.Status == 200 && ans.LastEvent() > 0 {
			begins++
		}
	}
	wld.Note("of %d streams that were taken up %d went on; of %d new ones %d began", len(taken), goesOn, len(news), begins)
	if float64(goesOn)/float64(len(taken)) < 0.5*float64(begins)/float64(len(news)) {
		return broken, nil
	}
	return held, nil
}

// taking is a stream that its client takes up after an event.
type taking struct{ client, last int }

// takeUpOne plays a client that takes its stream up, with the one retry that the sheets give it.
// It reports whether the stream went on, and returns the answer.
func (wld *World) takeUpOne(ins *Instance, tak taking, name string, deadline time.Time) (bool, Answer) {
	first := fmt.Sprintf("5e01%012x", tak.client+1)
	req := stream(fmt.Sprintf("7a00%012x", tak.client+1), first, name, int(deadline.Sub(clk.Now()).Milliseconds()))
	req.Fields["Resumes"], req.Fields[hdrLast] = first, strconv.Itoa(tak.last)
	ans := wld.Send(context.Background(), ins, req)
	return ans.Status == 200 && strings.HasPrefix(ans.Body, fmt.Sprintf("id: %d\n", tak.last+1)), ans
}

// sendAll sends requests to the instances in turn, calls fun meanwhile, and returns the answers.
func (wld *World) sendAll(ctx context.Context, list []*Instance, num int, build func(num int) Request, fun func()) []Answer {
	grp := group.New(context.Background())
	var mu sync.Mutex
	out := make([]Answer, num)
	for idx := range num {
		grp.Go(func(context.Context) error {
			ans := wld.Send(ctx, list[idx%len(list)], build(idx))
			mu.Lock()
			defer mu.Unlock()
			out[idx] = ans
			return nil
		})
	}
	if fun != nil {
		fun()
	}
	_ = grp.Wait()
	return out
}
