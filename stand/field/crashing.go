package field

import (
	"context"
	"time"

	"lovagestream/platform/fakes"
)

const (
	// crashRate is the rate of the requests that crash servers, per second.
	crashRate = 5
	// lapseTime is after how long the entry of a crashed server lapses.
	lapseTime = 1500 * time.Millisecond
	// contactTime is how long after the crash that shows a request or a part to be the
	// cause instances may still send such requests; maxLateSends may come later.
	contactTime  = 3 * time.Second
	maxLateSends = 3
	// requestCrashes and partCrashes are the numbers of these crashes.
	requestCrashes = 3
	partCrashes    = 5
)

// crashByRequests sends requests that crash all servers of a service: copies of a few
// requests, or different ones with one of a few parts in their prompts.
func (inj *injector) crashByRequests(ctx context.Context) error {
	first := inj.takeServer()
	if first == nil {
		return nil
	}
	list := []*server{first}
	if first.service == "plain" || first.service == "model" {
		list = append(list, inj.siblings(first, true)...)
	}
	defer inj.releaseServers(list)
	if len(list) == 1 {
		return nil
	}
	clu, name := inj.cluster, "requests-crash-servers "+first.service
	from := time.Now()
	end := clu.beginDisturbance(name, false, nil)
	defer end()
	crs := &fakes.Crashes{}
	var triggers []string
	for num := range 1 + inj.rng.IntN(3) {
		triggers = append(triggers, "c"+itoa(num)+"f"+itoa(inj.rng.IntN(1<<20)))
	}
	crs.SetTriggers(triggers...)
	keys := map[*server]string{}
	for _, ser := range list {
		inj.makeCrash(ser, crs, keys)
	}
	inj.sendCrashing(ctx, first.service, triggers)
	crs.SetTriggers()
	inj.checkCrashes(crs, first.service, triggers, name, from)
	return inj.replaceCrashed(ctx, list, keys)
}

func (inj *injector) releaseServers(list []*server) {
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	for _, ser := range list {
		ser.busy = false
	}
}

// makeCrash makes a server crash under requests. keys gets the key of its entry after each
// start.
func (inj *injector) makeCrash(ser *server, crs *fakes.Crashes, keys map[*server]string) {
	clu := inj.cluster
	clu.mu.Lock()
	keys[ser] = "servers/" + ser.fake.ID
	clu.mu.Unlock()
	ser.fake.SetCrashes(crs, inj.drawDuration()/2, func(id string) {
		clu.mu.Lock()
		old := keys[ser]
		keys[ser] = "servers/" + id
		clu.mu.Unlock()
		clu.sto.Put("servers/"+id, ser.fake.Entry("ready", 1))
		time.AfterFunc(lapseTime, func() { clu.sto.Delete(old) })
	})
}

// sendCrashing sends the crashing requests for a while, at any instances.
func (inj *injector) sendCrashing(ctx context.Context, service string, triggers []string) {
	clu := inj.cluster
	total := int((6*time.Second + inj.drawDuration()).Seconds() * crashRate)
	for num := 0; num < total && sleep(ctx, time.Second/crashRate); num++ {
		tri := triggers[num%len(triggers)]
		rqt := &request{id: tri + "-" + itoa(num), account: accounts[0], route: "once", body: tri, path: "/once/x?n=" + tri, instance: clu.pickInstance(inj.rng)}
		if service == "model" {
			rqt.route, rqt.path, rqt.body = "bare", "", "body of "+rqt.id
			rqt.parts = "a0:10," + tri + ":10," + itoa(num) + ":10"
		}
		if rqt.instance == nil {
			continue
		}
		clu.mu.Lock()
		clu.requests = append(clu.requests, rqt)
		clu.mu.Unlock()
		clu.grp.Go(func(ctx context.Context) error {
			clu.send(ctx, rqt, 0)
			return nil
		})
	}
}

// checkCrashes checks that the requests were no longer sent once enough servers had crashed,
// unless something else was disturbed meanwhile.
func (inj *injector) checkCrashes(crs *fakes.Crashes, service string, triggers []string, name string, from time.Time) {
	number := requestCrashes
	if service == "model" {
		number = partCrashes
	}
	clu := inj.cluster
	clu.mu.Lock()
	alone := true
	for _, dis := range clu.disturbances {
		alone = alone && (dis.planned || dis.name == name || !dis.to.IsZero() && dis.to.Before(from))
	}
	clu.mu.Unlock()
	for _, tri := range triggers {
		if crashes, late := crs.Count(tri, number, contactTime); alone && late > maxLateSends {
			clu.addProblem("BUDGET %s: %d requests with %s were sent later than %s after crash %d of %d", service, late, tri, contactTime, number, crashes)
		}
	}
}

// replaceCrashed replaces the servers, whose IDs have changed.
func (inj *injector) replaceCrashed(ctx context.Context, list []*server, keys map[*server]string) error {
	clu := inj.cluster
	for _, ser := range list {
		if err := clu.addServer(ser.service, ser.kind, ser.zone); err != nil {
			return err
		}
		clu.removeEntry(ser)
	}
	sleep(ctx, 2*lapseTime)
	for _, ser := range list {
		clu.mu.Lock()
		key := keys[ser]
		clu.mu.Unlock()
		clu.sto.Delete(key)
		ser.fake.Close()
	}
	return nil
}

// favorInstance gives most requests to one instance for a while, as when the platform hands it
// most new connections.
func (inj *injector) favorInstance(ctx context.Context) error {
	clu := inj.cluster
	ins := clu.pickInstance(inj.rng)
	if ins == nil {
		return nil
	}
	defer clu.beginDisturbance("connections-to-one "+ins.boot.Name, true, nil)()
	clu.setFavorite(ins)
	defer clu.setFavorite(nil)
	sleep(ctx, 2*inj.drawDuration())
	return nil
}

func (clu *Cluster) setFavorite(ins *instance) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	clu.favorite = ins
}

// favoriteShare is the share of requests that the favorite instance gets.
const favoriteShare = 0.9
