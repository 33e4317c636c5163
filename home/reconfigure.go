package home

import "time"

// Reconfigure puts other limits in force. Legs that wait or run stay: a home
// that began anew would count the slots from zero while the old one's attempts
// still fill them, and the backend servers would shed.
//
// Classes are matched by name. The legs of a class that is gone go on in the
// first class: their callers were admitted under the configuration before.
func (h *Home) Reconfigure(now time.Time, cfg Config, acts []Action) []Action {
	cfg = cfg.withDefaults()
	position := h.newPositions(cfg)
	h.moveLegs(position, cfg)
	h.moveTimes(position, cfg)
	for _, s := range h.servers {
		s.slots = slotsOf(s.spec, &cfg)
		s.warmAfter, s.sharesSlots = cfg.SlowStartReplies, cfg.ReserveReportedLoad
	}
	h.hedgeBudget.SetLimits(cfg.HedgeBudget, cfg.HedgeBurst)
	h.retryBudget.SetLimits(cfg.RetryBudget, cfg.RetryBurst)
	h.cfg = cfg
	h.setRates()
	return h.dispatch(now, acts)
}

// newPositions maps the old positions of classes to the new ones.
func (h *Home) newPositions(cfg Config) []int {
	position := make([]int, len(h.classes))
	for i := range h.classes {
		for j := range cfg.Classes {
			if cfg.Classes[j].Name == h.classes[i].spec.Name {
				position[i] = j
			}
		}
	}
	return position
}

// moveLegs makes the new classes and puts every leg into its own.
func (h *Home) moveLegs(position []int, cfg Config) {
	old := h.classes
	h.classes = make([]class, len(cfg.Classes))
	for i := range h.classes {
		h.classes[i] = class{spec: cfg.Classes[i], index: i, shared: cfg.LatencyStats.class(cfg.Classes[i].Name)}
	}
	for i := range old {
		c := &h.classes[position[i]]
		if c.spec.Name == old[i].spec.Name {
			*c = keepLearnt(c, &old[i])
		}
	}
	for i := range old {
		h.classes[position[i]].merge(&old[i])
	}
	for l := range h.allLegs() {
		l.Class = position[l.Class]
	}
}

// allLegs are those that are not done and those whose attempts still run.
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

// keepLearnt carries what was measured over to the class of the same name.
func keepLearnt(next, old *class) class {
	kept := *old
	kept.spec, kept.index, kept.shared = next.spec, next.index, next.shared
	kept.running = 0
	kept.waiting, kept.hedges, kept.watch = queue{}, queue{}, attemptList{}
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
	for a := old.watch.head; a != nil; {
		next := a.next
		a.prev, a.next = nil, nil
		c.watch.push(a)
		a = next
	}
}

// moveTimes keeps each server's observed times under the classes' new positions.
func (h *Home) moveTimes(position []int, cfg Config) {
	for _, s := range h.servers {
		times := make([]meanTime, len(cfg.Classes))
		for i := range s.times {
			if cfg.Classes[position[i]].Name == h.cfg.Classes[i].Name {
				times[position[i]] = s.times[i]
			}
		}
		s.times = times
	}
}
