// Package bench is a discrete-event simulation of admission and scheduling under
// load: simulated backend servers, entry hosts with open-loop Poisson arrivals,
// and a policy that routes and queues each leg, a query's part for one service.
// The home policy gives each service a home: the entry host that sends its legs to
// the backend servers. Runs take place in virtual time and are deterministic for a
// seed.
//
// To add a policy, implement Policy and add a PolicySpec to Policies or to a Case.
// The policy receives legs through Submit and Cancel, calls backend servers with
// Sim.Send, and ends each leg with Sim.Answer or Sim.Fail.
//
// To add a case, add a function that returns a Case to Cases. A case may have an
// Admission, which decides at the entry host before any leg is sent. Bounds for
// tests are in bounds.yaml, by case, policy and measure.
package bench
