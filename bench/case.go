package bench

import "time"

// The classes of the cases, as indexes of the class lists.
const (
	Interactive = iota
	Standard
	Batch
)

// Case is one scenario: a shape, its traffic and the changes during the run.
type Case struct {
	Name string
	// Description is printed above the table of the case.
	Description string
	Shape       Shape
	// Load is the mean demand as a fraction of Shape.Capacity.
	Load    float64
	Length  time.Duration
	Warmup  time.Duration // arrivals in this time are not measured
	Traffic []Traffic
	// Surge returns the factor of the demand at a time; nil: always 1.
	Surge   func(at time.Duration) float64
	Changes []Change
	// Admission makes the admission of the entry hosts; nil admits every query.
	Admission func(*Sim) Admission
	// Policies to run; nil: Policies().
	Policies []PolicySpec
}

// Traffic is one caller's stream of queries in one class.
type Traffic struct {
	Caller   string
	Class    int
	Share    float64 // fraction of the case's demand in slot time
	Deadline time.Duration
	// ServiceTime of its legs; zero is the shape's.
	ServiceTime ServiceTime
	// SoftDeadline is the time after arrival from which a query ends as soon as
	// it has MinCoverage of its legs; 0 is none.
	SoftDeadline time.Duration
	MinCoverage  float64
	// RetryRefused makes a refused caller retry once, after the refusal's delay.
	RetryRefused bool
	// Host0Share is the fraction of queries that go to host 0; the others go to
	// a random host.
	Host0Share float64
}

// Change alters the simulation during a run.
type Change struct {
	At    time.Duration
	Apply func(*Sim)
}

// PolicySpec is a named constructor of a policy.
type PolicySpec struct {
	Name string
	New  func(*Sim) Policy
	// Admission, if set, replaces the case's.
	Admission func(*Sim) Admission
}

// Policy routes and queues the legs of admitted queries.
type Policy interface {
	// Submit accepts a leg at its query's entry host.
	Submit(leg *Leg)
	// Cancel reports that the query no longer needs the leg.
	Cancel(leg *Leg)
}

// rate returns the traffic's arrivals per second at a time of the run.
func (c *Case) rate(t *Traffic, at time.Duration) float64 {
	surge := 1.0
	if c.Surge != nil {
		surge = c.Surge(at)
	}
	slots := float64(c.Shape.Servers * c.Shape.Slots)
	return slots * c.Load * t.Share * surge / t.ServiceTime.Mean().Seconds()
}

func (c *Case) longestDeadline() time.Duration {
	var longest time.Duration
	for i := range c.Traffic {
		longest = max(longest, c.Traffic[i].Deadline)
	}
	return longest
}

// withDefaults returns the case with its service times, length and warm-up set.
func (c Case) withDefaults() Case {
	c.Traffic = append([]Traffic(nil), c.Traffic...)
	for i := range c.Traffic {
		if c.Traffic[i].ServiceTime == (ServiceTime{}) {
			c.Traffic[i].ServiceTime = c.Shape.ServiceTime
		}
	}
	if c.Length == 0 {
		c.Length = 12 * time.Second
	}
	if c.Warmup == 0 {
		c.Warmup = 2 * time.Second
	}
	return c
}
