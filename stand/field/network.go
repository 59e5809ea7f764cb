package field

import (
	"context"
	"fmt"
	"time"

	"lovagestream/platform/fakes"
	"lovagestream/stand/proxy"
)

// linkFaults are the proxy rules to draw from.
var linkFaults = []proxy.Rule{
	{Mode: proxy.Cut}, {Mode: proxy.Silence}, {Mode: proxy.Blackhole}, {Mode: proxy.OneWay}, {Mode: proxy.Delay, Wait: 60}, {Mode: proxy.Throttle, Wait: 30},
	{Mode: proxy.Cut, AfterBytes: 300},
}

// breakLinks applies a random rule to links for a while, for all instances or for
// those of one zone.
func (inj *injector) breakLinks(ctx context.Context, name string, links ...*proxy.Link) error {
	rul := linkFaults[inj.rng.IntN(len(linkFaults))]
	if inj.rng.IntN(2) == 0 {
		rul.Source = inj.cluster.addrPrefix(inj.rng.IntN(len(zones)))
	}
	end := inj.cluster.beginDisturbance(fmt.Sprintf("%s %s %s", name, rul.Mode, rul.Source), false, nil)
	defer end()
	for _, lnk := range links {
		lnk.SetRules([]proxy.Rule{rul})
	}
	sleep(ctx, inj.drawDuration())
	for _, lnk := range links {
		lnk.SetRules(nil)
	}
	return nil
}

// addrPrefix returns the first three bytes of the IP addresses of a zone's
// instances, with the dot after them.
func (clu *Cluster) addrPrefix(zone int) string {
	return fmt.Sprintf("127.%d.%d.", clu.subnet, zone+1)
}

// networkSeeds is the number of subnets that seeds are mapped to.
const networkSeeds = 100

// reserveSubnet reserves a subnet that no other run on the machine uses. It tries
// the one of the seed first.
func (clu *Cluster) reserveSubnet() error {
	var err error
	clu.subnet, clu.subnetLock, err = fakes.ClaimNetwork(int(clu.opt.Seed % networkSeeds))
	return err
}

func (inj *injector) breakServerLink(ctx context.Context) error {
	return inj.injectIntoServer("server-link", false, func(ser *server) error {
		return inj.breakLinks(ctx, "server-link "+ser.fake.ID, ser.link)
	})
}

func (inj *injector) breakPeerLink(ctx context.Context) error {
	ins := inj.takeInstance()
	if ins == nil {
		return nil
	}
	defer inj.releaseInstance(ins)
	return inj.breakLinks(ctx, "peer-link "+ins.boot.Name, ins.link)
}

func (inj *injector) breakStoreLink(ctx context.Context) error {
	return inj.breakLinks(ctx, "store-link", inj.cluster.storeLink)
}

// cutZone cuts one zone's instances off from the other zones' instances and from
// the store. It replaces the rules of those links, so a fault on one of them ends
// with it.
func (inj *injector) cutZone(ctx context.Context) error {
	zone := inj.rng.IntN(len(zones))
	links := []*proxy.Link{inj.cluster.storeLink}
	for _, ins := range inj.cluster.instances {
		if ins.zone != zone {
			links = append(links, ins.link)
		}
	}
	modes := []proxy.Mode{proxy.Cut, proxy.Blackhole}
	rul := proxy.Rule{Mode: modes[inj.rng.IntN(len(modes))], Source: inj.cluster.addrPrefix(zone)}
	end := inj.cluster.beginDisturbance(fmt.Sprintf("zone-cut %s %s", rul.Mode, zones[zone]), false, nil)
	defer end()
	for _, lnk := range links {
		lnk.SetRules([]proxy.Rule{rul})
	}
	sleep(ctx, inj.drawDuration())
	for _, lnk := range links {
		lnk.SetRules(nil)
	}
	return nil
}

func (inj *injector) takeStoreDown(ctx context.Context) error {
	silent := inj.rng.IntN(2) == 0
	end := inj.cluster.beginDisturbance("store-down", false, nil)
	defer end()
	inj.cluster.sto.SetDown(!silent, silent)
	sleep(ctx, inj.drawDuration())
	inj.cluster.sto.SetDown(false, false)
	return nil
}

func (inj *injector) compactStore(context.Context) error {
	defer inj.cluster.beginDisturbance("store-compacted", true, nil)()
	inj.cluster.sto.Compact()
	return nil
}

// expireEntries expires the entries of some live servers during a store outage and
// restores them soon after it.
func (inj *injector) expireEntries(ctx context.Context) error {
	end := inj.cluster.beginDisturbance("entries-lapsed", false, nil)
	defer end()
	sto := inj.cluster.sto
	sto.SetDown(true, false)
	inj.cluster.mu.Lock()
	var lapsed []*server
	for _, ser := range inj.cluster.servers {
		if !ser.busy && ser.leavingSince.IsZero() && inj.rng.IntN(2) == 0 {
			ser.busy = true
			lapsed = append(lapsed, ser)
		}
	}
	inj.cluster.mu.Unlock()
	for _, ser := range lapsed {
		sto.ExpireUnseen("servers/" + ser.fake.ID)
	}
	sleep(ctx, inj.drawDuration())
	sto.SetDown(false, false)
	sleep(ctx, time.Second)
	for _, ser := range lapsed {
		inj.cluster.putEntry(ser, "ready")
		inj.cluster.mu.Lock()
		ser.busy = false
		inj.cluster.mu.Unlock()
	}
	return nil
}

func (inj *injector) putInvalidEntries(ctx context.Context) error {
	defer inj.cluster.beginDisturbance("entries-foreign", true, nil)()
	keys := []string{"servers/odd-1", "servers/odd-2", "servers/odd/3", "others/x"}
	texts := []string{"{", `{"service":5}`, `{"service":"model","address":"nowhere"}`, "\x00\xff"}
	for idx, key := range keys {
		inj.cluster.sto.Put(key, []byte(texts[idx]))
	}
	sleep(ctx, inj.drawDuration())
	for _, key := range keys {
		inj.cluster.sto.Delete(key)
	}
	return nil
}

func (inj *injector) publishSeries(ctx context.Context) error {
	defer inj.cluster.beginDisturbance("configs-in-a-row", true, nil)()
	for range 1 + inj.rng.IntN(4) {
		inj.cluster.publishConfig()
		sleep(ctx, 300*time.Millisecond)
	}
	return nil
}
