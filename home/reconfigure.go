package home

import "time"

// Reconfigure applies new limits. Waiting and running legs are kept, so that the slots
// used by running attempts stay counted.
//
// Classes are matched by name. Legs of a removed class go to the first class.
func (h *Home) Reconfigure(now time.Time, cfg Config, acts []Action) []Action {
	cfg = cfg.withDefaults()
	newIndex := h.mapClasses(cfg)
	h.moveLegs(newIndex, cfg)
	h.moveServiceTimes(newIndex, cfg)
	for _, s := range h.servers {
		s.slots = slotsOf(s.spec, &cfg)
		s.slowStartReplies, s.reserveReportedLoad = cfg.SlowStartReplies, cfg.ReserveReportedLoad
	}
	h.hedgeBudget.SetLimits(cfg.HedgeBudget, cfg.HedgeBurst)
	h.retryBudget.SetLimits(cfg.RetryBudget, cfg.RetryBurst)
	h.cfg = cfg
	h.applyBudgetRates()
	return h.dispatch(now, acts)
}

// mapClasses maps the old indexes of classes to the new ones.
func (h *Home) mapClasses(cfg Config) []int {
	newIndex := make([]int, len(h.classes))
	for i := range h.classes {
		for j := range cfg.Classes {
			if cfg.Classes[j].Name == h.classes[i].spec.Name {
				newIndex[i] = j
			}
		}
	}
	return newIndex
}

// moveLegs creates the new classes and moves every leg to its class.
func (h *Home) moveLegs(newIndex []int, cfg Config) {
	old := h.classes
	h.classes = make([]class, len(cfg.Classes))
	for i := range h.classes {
		h.classes[i] = class{spec: cfg.Classes[i], index: i, sharedLatencies: cfg.LatencyStats.forClass(cfg.Classes[i].Name)}
	}
	for i := range old {
		c := &h.classes[newIndex[i]]
		if c.spec.Name == old[i].spec.Name {
			*c = keepStats(c, &old[i])
		}
	}
	for i := range old {
		h.classes[newIndex[i]].merge(&old[i])
	}
	for l := range h.allLegs() {
		l.Class = newIndex[l.Class]
	}
}

// allLegs returns the legs that aren't done and those with running attempts.
func (h *Home) allLegs() map[*leg]bool {
	all := make(map[*leg]bool, len(h.legs))
	for _, l := range h.legs {
		all[l] = true
	}
	for _, a := range h.attempts {
		all[a.leg] = true
	}
	return all
}

// keepStats carries the measurements over to the class of the same name.
func keepStats(next, old *class) class {
	kept := *old
	kept.spec, kept.index, kept.sharedLatencies = next.spec, next.index, next.sharedLatencies
	kept.running = 0
	kept.waiting, kept.hedges, kept.hedgeCandidates = queue{}, queue{}, attemptList{}
	return kept
}

// merge adds the legs of an old class.
func (c *class) merge(old *class) {
	c.running += old.running
	for _, l := range old.waiting.legs {
		c.waiting.insert(l)
	}
	for _, l := range old.hedges.legs {
		c.hedges.insert(l)
	}
	for a := old.hedgeCandidates.head; a != nil; {
		next := a.next
		a.prev, a.next = nil, nil
		c.hedgeCandidates.push(a)
		a = next
	}
}

// moveServiceTimes keeps each server's observed times under the new class indexes.
func (h *Home) moveServiceTimes(newIndex []int, cfg Config) {
	for _, s := range h.servers {
		times := make([]meanTime, len(cfg.Classes))
		for i := range s.serviceTimes {
			if cfg.Classes[newIndex[i]].Name == h.cfg.Classes[i].Name {
				times[newIndex[i]] = s.serviceTimes[i]
			}
		}
		s.serviceTimes = times
	}
}
