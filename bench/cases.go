package bench

import (
	"time"

	"github.com/goldcrestspan/goldcrestspan/backend"
	"github.com/goldcrestspan/goldcrestspan/home"
)

const searchDeadline = 2 * time.Second

// Policies returns the home policy and the baselines that it is compared with.
func Policies() []PolicySpec {
	return []PolicySpec{
		HomePolicy("home", nil),
		HomePolicy("home, no hedge", func(c *home.Config) { c.HedgeBudget = 0 }),
		QueueBaseline("ideal queue", queueOptions{hedge: hedgeQueued}),
		QueueBaseline("ideal, hedge idle", queueOptions{hedge: hedgeIdle}),
		QueueBaseline("ideal, fifo", queueOptions{hedge: hedgeQueued, fifo: true}),
		QueueBaseline("ideal, no hedge", queueOptions{}),
		QueueBaseline("random, no hedge", queueOptions{perServer: true}),
		QueueBaseline("random, hedge idle", queueOptions{perServer: true, hedge: hedgeIdle}),
		QueueBaseline("random, hedge queued", queueOptions{perServer: true, hedge: hedgeQueued}),
		UncoordinatedBaseline("alone", false),
		UncoordinatedBaseline("static share", true),
	}
}

// Cases returns the standard cases in the order of the tables.
func Cases() []Case {
	return append(admissionCases(), []Case{
		steadyCase("steady-70", BookingDesk(), 0.70),
		steadyCase("steady-85", BookingDesk(), 0.85),
		steadyCase("transit-70", TransitPlanner(), 0.70),
		steadyCase("portal-70", BookingPortal(), 0.70),
		steadyCase("archive-70", Archive(), 0.70),
		withServerQueue(steadyCase("steady-70-q", BookingDesk(), 0.70)),
		withServerQueue(steadyCase("steady-85-q", BookingDesk(), 0.85)),
		withServerQueue(slowServerCase("slow-45-q", 0.45)),
		burstCase(),
		slowServerCase("slow-45", 0.45),
		slowServerCase("slow-70", 0.70),
		lostServerCase(),
		longWithShortCase(),
		lostHomeCase(),
		divergentViewsCase(),
		coldRestartCase(),
		wrongReportsCase(),
	}...)
}

// CaseByName returns the case of Cases with this name.
func CaseByName(name string) (Case, bool) {
	for _, c := range Cases() {
		if c.Name == name {
			return c, true
		}
	}
	return Case{}, false
}

func searchTraffic() []Traffic {
	return []Traffic{{Caller: "screens", Class: Interactive, Share: 1, Deadline: searchDeadline}}
}

func steadyCase(name string, shape Shape, load float64) Case {
	return Case{Name: name, Description: "steady Poisson arrivals", Shape: shape, Load: load, Traffic: searchTraffic()}
}

// withServerQueue lets the backend servers queue two requests beyond their slots
// instead of shedding them.
func withServerQueue(c Case) Case {
	c.Shape.ServerQueue = 2
	c.Description += "; servers queue 2 requests"
	return c
}

func burstCase() Case {
	c := steadyCase("burst", BookingDesk(), 0.40)
	c.Description = "40% load, 5 times as much from second 4 to 6"
	c.Surge = func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 6*time.Second {
			return 5
		}
		return 1
	}
	return c
}

func slowServerCase(name string, load float64) Case {
	c := steadyCase(name, BookingDesk(), load)
	c.Description = "one backend server of service 0 is 10 times slow from the start"
	c.Changes = []Change{{At: 0, Apply: func(s *Sim) { s.Services[0].Servers[0].SlowFactor = 10 }}}
	return c
}

func lostServerCase() Case {
	c := steadyCase("lost-server", BookingDesk(), 0.45)
	c.Description = "one backend server of service 0 crashes at second 5, is back cold at second 8"
	c.Changes = []Change{
		{At: 5 * time.Second, Apply: func(s *Sim) { s.Services[0].Servers[0].Crash(s) }},
		{At: 8 * time.Second, Apply: func(s *Sim) { s.Services[0].Servers[0].Restart(s, time.Second, 3) }},
	}
	return c
}

func longWithShortCase() Case {
	c := steadyCase("long-short", BookingDesk(), 0.70)
	c.Description = "40% interactive load beside 30% of batch legs that are 30 times longer"
	long := StandardTime()
	long.Base, long.MeanExtra = 30*long.Base, 30*long.MeanExtra
	c.Traffic = []Traffic{
		{Caller: "screens", Class: Interactive, Share: 4.0 / 7, Deadline: searchDeadline},
		{Caller: "exports", Class: Batch, Share: 3.0 / 7, Deadline: 10 * time.Second, ServiceTime: long},
	}
	return c
}

func lostHomeCase() Case {
	c := steadyCase("lost-home", BookingDesk(), 0.70)
	c.Description = "an entry host crashes at second 5; detected after 0.3 s, views updated after 1.5 s"
	c.Changes = []Change{{At: 5 * time.Second, Apply: FailHost(1, 1500*time.Millisecond)}}
	return c
}

func divergentViewsCase() Case {
	c := steadyCase("two-homes", BookingDesk(), 0.70)
	c.Description = "from second 5 to 8 the even hosts consider host 1 dead"
	c.Changes = []Change{
		{At: 5 * time.Second, Apply: func(s *Sim) {
			divergent := s.ViewOf(func(h *Host) bool { return h.Index != 1 })
			for i := 0; i < len(s.Hosts); i += 2 {
				s.Hosts[i].View = divergent
			}
		}},
		{At: 8 * time.Second, Apply: (*Sim).SyncViews},
	}
	return c
}

func coldRestartCase() Case {
	c := steadyCase("cold-restart", BookingDesk(), 0.45)
	c.Description = "all servers of service 0 restart at second 5 and are 4 times slow for a second"
	c.Changes = []Change{{At: 5 * time.Second, Apply: func(s *Sim) {
		for _, server := range s.Services[0].Servers {
			server.Restart(s, time.Second, 4)
		}
	}}}
	return c
}

func wrongReportsCase() Case {
	c := steadyCase("lying-reports", BookingDesk(), 0.70)
	c.Description = "each first server reports no load, each second one a full queue"
	c.Changes = []Change{{At: 0, Apply: func(s *Sim) {
		for _, service := range s.Services {
			service.Servers[0].LoadOverride = func(l backend.Load) backend.Load { return backend.Load{Slots: l.Slots} }
			service.Servers[1].LoadOverride = func(l backend.Load) backend.Load {
				return backend.Load{Running: l.Slots, Queued: 10 * l.Slots, Slots: l.Slots}
			}
		}
	}}}
	return c
}
