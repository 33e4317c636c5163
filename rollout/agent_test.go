package rollout

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/bundle"
	"github.com/goldcrestspan/goldcrestspan/member/memberpb"
	"github.com/goldcrestspan/goldcrestspan/metastore"
	"github.com/goldcrestspan/goldcrestspan/standin"
)

// withRunningFleet runs the test in virtual time on a fleet with a first
// configuration active on all hosts, and checks that no host's generation ever
// decreased.
func withRunningFleet(t *testing.T, hosts, watchers int, test func(*is.I, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, watchers)
		first := f.accept(testDocuments(20), "first")
		f.startAll()
		defer f.stopAll()
		f.waitActive(5*time.Second, first, hosts)
		test(is.New(t), f)
		for _, host := range f.hosts {
			if !slices.IsSorted(host.generations()) {
				t.Fatalf("host %s reverted to an older generation: %v", host.address, host.generations())
			}
		}
	})
}

// A withdrawn route must be gone from all hosts within a second.
func TestAcceptedConfigurationReachesAllHosts(t *testing.T) {
	withRunningFleet(t, 7, 3, func(is *is.I, f *fleet) {
		second := f.accept(testDocuments(19), "withdraw a route")
		is.Equal(second.Generation, uint64(2))
		f.waitActive(time.Second, second, 7)
		config := f.hosts[6].agent.Config()
		caller, _ := config.Caller("screens")
		_, found := config.Route("route-0019", caller)
		is.True(!found)
	})
}

// The store goes down right after it accepted a change. The watchers have
// received it by then and must spread it.
func TestStoreDownRightAfterAcceptance(t *testing.T) {
	withRunningFleet(t, 7, 3, func(_ *is.I, f *fleet) {
		second := f.accept(testDocuments(19), "withdraw a route")
		synctest.Wait() // the pending watches have their reply
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		f.waitActive(4*time.Second, second, 7)
	})
}

// Hosts keep serving through a long outage of the store, and the next change
// must be active seconds after its end despite the backoff.
func TestLongStoreOutage(t *testing.T) {
	withRunningFleet(t, 7, 3, func(is *is.I, f *fleet) {
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		time.Sleep(10 * time.Minute)
		is.True(f.hosts[0].agent.Config() != nil)
		is.True(time.Since(f.hosts[0].agent.LastStoreContact()) > 9*time.Minute)
		f.store.SetFaults(standin.PlatformFaults{})
		f.waitActive(4*time.Second, f.accept(testDocuments(19), "after the outage"), 7)
		time.Sleep(4 * time.Second)
		is.True(time.Since(f.hosts[0].agent.LastStoreContact()) < 2*time.Second)
	})
}

// A slow store delays a change but doesn't prevent it.
func TestSlowStore(t *testing.T) {
	withRunningFleet(t, 7, 3, func(_ *is.I, f *fleet) {
		f.store.SetFaults(standin.PlatformFaults{Delay: 600 * time.Millisecond})
		f.waitActive(4*time.Second, f.accept(testDocuments(19), "slow"), 7)
	})
}

// Stale reads of the store must not bring a withdrawn route back, neither on a
// running watcher nor on a host that starts meanwhile.
func TestStaleStoreReads(t *testing.T) {
	withRunningFleet(t, 7, 3, func(is *is.I, f *fleet) {
		second := f.accept(testDocuments(19), "withdraw a route")
		f.waitActive(time.Second, second, 7)
		f.store.SetFaults(standin.PlatformFaults{ReadLag: time.Minute})
		time.Sleep(10 * time.Second)
		is.Equal(f.countActive(second), 7)
		restarted := f.hosts[0]
		restarted.stop()
		restarted.start(f.store)
		f.waitActive(5*time.Second, second, 7)
		is.Equal(restarted.generations(), []uint64{2}) // not the first
	})
}

// A host that starts while the store is down must get the whole configuration
// from its peers.
func TestStartWithStoreDown(t *testing.T) {
	withRunningFleet(t, 7, 3, func(_ *is.I, f *fleet) {
		second := f.accept(testDocuments(19), "second")
		f.waitActive(time.Second, second, 7)
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		for _, host := range []*fleetHost{f.hosts[0], f.hosts[6]} {
			host.stop()
			host.start(f.store)
		}
		f.waitActive(5*time.Second, second, 7)
	})
}

// Guards against a host that serves on by its configuration, unseen, while its control loop hangs and
// a newer one has arrived.
func TestConfigurationThatWaitsForAHangingLoopIsKnown(t *testing.T) {
	withRunningFleet(t, 7, 3, func(is *is.I, f *fleet) {
		hung := f.hosts[6]
		hold := make(chan struct{})
		hung.hold.Store(&hold)
		f.accept(testDocuments(19), "second")
		time.Sleep(time.Second)
		third := f.accept(testDocuments(18), "third")
		time.Sleep(3 * time.Second)
		is.Equal(f.countActive(third), 6)
		is.True(hung.agent.Loop().Busy > 3*time.Second)
		is.Equal(f.hosts[5].agent.Freshness().Newest, uint64(3))
		close(hold)
		f.waitActive(4*time.Second, third, 7)
		is.Equal(hung.agent.Freshness().Behind(time.Now()), time.Duration(0))
	})
}

// Hosts that start with neither the store nor a configured peer must not serve,
// and must become ready once the store answers.
func TestStartWithoutStoreAndPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1)
		first := f.accept(testDocuments(5), "first")
		f.store.SetFaults(standin.PlatformFaults{Down: true})
		f.startAll()
		defer f.stopAll()
		time.Sleep(time.Minute)
		for _, host := range f.hosts {
			is.True(host.agent.Config() == nil)
		}
		f.store.SetFaults(standin.PlatformFaults{})
		f.waitActive(5*time.Second, first, 3)
	})
}

// A paused host resumes and announces its outdated configuration. No peer may
// revert to it, and the host itself must catch up.
func TestPausedHostCatchesUp(t *testing.T) {
	withRunningFleet(t, 7, 3, func(is *is.I, f *fleet) {
		outdated := f.hosts[6]
		old := outdated.agent.ConfigUpdate()
		outdated.paused.Store(true)
		f.waitActive(time.Second, f.accept(testDocuments(19), "second"), 6)
		third := f.accept(testDocuments(18), "third")
		f.waitActive(time.Second, third, 6)
		outdated.paused.Store(false)
		for _, host := range f.hosts[:6] {
			host.agent.HandleConfigUpdate(old, outdated.address)
		}
		f.waitActive(4*time.Second, third, 7)
		time.Sleep(10 * time.Second)
		is.Equal(f.countActive(third), 7)
	})
}

// Duplicated and reordered messages (heads, announcements, finished pulls) must
// not change the active configuration.
func TestDuplicatedAndReorderedMessages(t *testing.T) {
	withRunningFleet(t, 3, 1, func(is *is.I, f *fleet) {
		agent := f.hosts[2].agent
		var events []event
		var announcements []*memberpb.ConfigNews
		for i := range 4 {
			f.waitActive(2*time.Second, f.accept(testDocuments(19-i), "change"), 3)
			p := agent.snapshot.Load()
			signed, err := bundle.DecodeSigned(p.signed)
			is.NoErr(err)
			m, err := signed.Manifest()
			is.NoErr(err)
			announcements = append(announcements, agent.ConfigUpdate())
			events = append(events,
				headRead{head: head{Signed: signed}, found: true},
				peerReply{announcement{ref: p.ref, from: f.hosts[1].address}},
				startupPeerReply{announcement{ref: p.ref, from: f.hosts[1].address}},
				pullResult{ref: p.ref, candidate: &candidate{ref: p.ref, raw: p.signed, manifest: m, contents: p.contents, config: p.config}},
				sourceDone{SourceStore}, sourceDone{SourcePeers})
		}
		last := agent.ActiveRef()
		random := rand.New(rand.NewPCG(7, 7))
		for range 200 {
			agent.post(f.ctx, events[random.IntN(len(events))])
			agent.HandleConfigUpdate(announcements[random.IntN(len(announcements))], f.hosts[1].address)
			synctest.Wait()
			is.Equal(agent.ActiveRef(), last)
			is.Equal(agent.Config().Generation, last.Generation)
		}
	})
}

// writeHead writes a head object without the checks of Submit.
func (f *fleet) writeHead(change bundle.Change) {
	is := is.New(f.t)
	m, err := change.Signed.Manifest()
	is.NoErr(err)
	raw, err := encodeHead(change.Signed, change.Contents, m.Parts.All())
	is.NoErr(err)
	version := uint64(0)
	if object, err := f.store.Get(f.ctx, HeadKey); err == nil {
		version = object.Version
	}
	_, err = f.store.Put(f.ctx, HeadKey, raw, version)
	is.NoErr(err)
}

// changeWithBase returns an unsigned change of the head with the given JSON as
// its base document, without validation.
func (f *fleet) changeWithBase(base string) bundle.Change {
	is := is.New(f.t)
	current, err := readHead(f.ctx, f.store)
	is.NoErr(err)
	m := current.manifest
	contents := bundle.Contents{}
	is.NoErr(readDocuments(f.ctx, f.store, m.Parts, contents))
	content := []byte(base)
	m.Parts.Base = bundle.HashOf(content)
	contents[m.Parts.Base] = content
	m.Parent, m.Generation, m.Restores = current.ref, current.ref.Generation+1, nil
	change, err := bundle.NewChange(m, contents)
	is.NoErr(err)
	return change
}

// Hosts must refuse an invalid bundle in the store and keep the last valid one,
// and a host that starts must get that from its peers. The next valid bundle
// clears the alarm.
func TestHostsRefuseInvalidBundles(t *testing.T) {
	sign := func(f *fleet, c bundle.Change) bundle.Change { return c.Sign(f.keys.ana).Sign(f.keys.marko) }
	propose := func(f *fleet) bundle.Change {
		change, err := Propose(f.ctx, f.store, testDocuments(3), bundle.Proposal{Author: "ana", Reason: "bad"})
		is.New(f.t).NoErr(err)
		return change
	}
	for want, makeChange := range map[string]func(*fleet) bundle.Change{
		"not signed by its author":     propose,
		"signed by ana alone":          func(f *fleet) bundle.Change { return propose(f).Sign(f.keys.ana) },
		"who is not among the signers": func(f *fleet) bundle.Change { return sign(f, propose(f)).Sign(f.keys.stranger) },
		"unknown field": func(f *fleet) bundle.Change {
			return sign(f, f.changeWithBase(`{"classes":null,"policy":{},"quarantine":null,"more":1}`))
		},
		"there is no class": func(f *fleet) bundle.Change {
			return sign(f, f.changeWithBase(`{"classes":null,"policy":{},"quarantine":null}`))
		},
	} {
		t.Run(want, func(t *testing.T) {
			withRunningFleet(t, 4, 2, func(is *is.I, f *fleet) {
				first := f.hosts[0].agent.ActiveRef()
				f.writeHead(makeChange(f))
				time.Sleep(5 * time.Second)
				is.Equal(f.countActive(first), 4)
				is.True(strings.Contains(f.hosts[0].agent.Alarm(), want))
				f.hosts[0].stop()
				f.hosts[0].start(f.store)
				f.waitActive(10*time.Second, first, 4)
				f.writeHead(sign(f, propose(f)))
				f.waitActive(10*time.Second, f.headRef(), 4)
				is.Equal(f.hosts[0].agent.Alarm(), "")
			})
		})
	}
}

func (f *fleet) headRef() bundle.Ref {
	current, err := readHead(f.ctx, f.store)
	is.New(f.t).NoErr(err)
	return current.ref
}

// A head object that can't be decoded must raise an alarm and change nothing.
func TestUnreadableHead(t *testing.T) {
	withRunningFleet(t, 3, 1, func(is *is.I, f *fleet) {
		object, err := f.store.Get(f.ctx, HeadKey)
		is.NoErr(err)
		raw, err := json.Marshal(head{Signed: bundle.Signed{Payload: []byte("x")}})
		is.NoErr(err)
		_, err = f.store.Put(f.ctx, HeadKey, raw, object.Version)
		is.NoErr(err)
		time.Sleep(3 * time.Second)
		is.True(strings.Contains(f.hosts[0].agent.Alarm(), "can't be read"))
		is.True(f.hosts[0].agent.Config() != nil)
	})
}

// A host that is offered different content of its active generation must keep
// its own and raise an alarm, which the next generation clears.
func TestConflictingContentOfOneGeneration(t *testing.T) {
	withRunningFleet(t, 4, 2, func(is *is.I, f *fleet) {
		loser, err := Propose(f.ctx, f.store, testDocuments(2), bundle.Proposal{Author: "ana", Reason: "loser"})
		is.NoErr(err)
		second := f.accept(testDocuments(19), "winner")
		f.waitActive(time.Second, second, 4)
		other := bundle.Ref{Generation: second.Generation, Hash: loser.Signed.Hash()}
		f.hosts[3].agent.HandleConfigUpdate(&memberpb.ConfigNews{Generation: other.Generation, ManifestHash: other.Hash[:]}, f.hosts[1].address)
		time.Sleep(time.Second)
		is.Equal(f.countActive(second), 4)
		is.True(strings.Contains(f.hosts[3].agent.Alarm(), "exists with other content"))
		f.waitActive(time.Second, f.accept(testDocuments(18), "next"), 4)
		is.Equal(f.hosts[3].agent.Alarm(), "")
	})
}

// Repeated announcements of a generation that doesn't exist must neither load
// the store nor delay real changes or the startup of a host.
func TestAnnouncementOfNonexistentConfiguration(t *testing.T) {
	withRunningFleet(t, 10, 2, func(is *is.I, f *fleet) {
		bogus := &memberpb.ConfigNews{Generation: 999, ManifestHash: make([]byte, 32)}
		before := f.store.Calls().Get
		for range 60 {
			for _, host := range f.hosts[2:] {
				host.agent.HandleConfigUpdate(bogus, f.hosts[0].address)
			}
			time.Sleep(time.Second)
		}
		reads := f.store.Calls().Get - before
		is.True(reads < 2*60+8*4) // the heartbeats of two watchers, and a few fallback reads by each other host
		f.waitActive(4*time.Second, f.accept(testDocuments(19), "real"), 10)
		f.hosts[5].stop()
		f.hosts[5].start(f.store)
		f.hosts[5].agent.post(f.ctx, startupPeerReply{announcement{ref: bundle.Ref{Generation: 999}, from: f.hosts[0].address}})
		f.waitActive(15*time.Second, f.headRef(), 10)
	})
}

// After all watchers failed, a change must arrive through a replacement.
func TestWatchersAreReplaced(t *testing.T) {
	withRunningFleet(t, 7, 2, func(is *is.I, f *fleet) {
		f.hosts[0].stop()
		f.hosts[1].stop()
		f.hosts[2].watcher.Store(true)
		second := f.accept(testDocuments(19), "second")
		f.waitActive(4*time.Second, second, 5)
	})
}

// stalledWatchStore never answers a watch, like a stalled connection.
type stalledWatchStore struct{ metastore.Store }

// The heartbeat must find a change when the watch's connection has stalled.
func TestStalledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		first := f.accept(testDocuments(5), "first")
		for _, host := range f.hosts {
			host.start(stalledWatchStore{f.store})
		}
		defer f.stopAll()
		f.waitActive(5*time.Second, first, 3)
		f.waitActive(4*time.Second, f.accept(testDocuments(4), "second"), 3)
	})
}

// Watch blocks until ctx ends.
func (s stalledWatchStore) Watch(ctx context.Context, _ string, after metastore.Revision) ([]metastore.Object, metastore.Revision, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}
