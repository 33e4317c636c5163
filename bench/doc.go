// Package bench measures the decisions under load in virtual time: fake
// backend servers, entry hosts with open-loop Poisson arrivals, and a policy
// that decides what happens to each leg. A run is seeded and gives the same
// figures every time; it simulates queues and network hops, not a cluster.
//
// To add a policy: implement Policy, and list a PolicySpec with its
// constructor in a Case or in Policies. The policy sees legs through Submit
// and Cancel, calls backend servers with Sim.Send, and ends each leg with
// Sim.Answer or Sim.Fail.
//
// To add a case: write a function that returns a Case (shape, load, traffic,
// scheduled changes) and register it from an init-free list such as
// standardCases; a Case may bring an Admission, which decides at the entry
// host before any leg is sent. Bounds for tests go to bounds.yaml, by case,
// policy and measure.
package bench
