package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

// Limits of the documents' values.
const (
	leastDeadline      = time.Millisecond
	mostDeadline       = 10 * time.Minute
	mostQueue          = 100_000
	mostWeight         = 1000
	mostSlots          = 1024
	mostConnections    = 65_535
	mostHedgeBudget    = 0.5
	leastHedgeQuantile = 0.5
	mostQuarantine     = 24 * time.Hour
	mostServers        = 100
	leastAdvice        = time.Second
	mostAdvice         = settings.LongestAdvice
	mostShare          = 1 + 1e-9 // shares written as thirds may add up to a little over 1
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameMend = "use 1 to 63 letters, digits, dots, underscores or hyphens"

// Validate lists every semantic problem of the documents at once; nil: none.
func Validate(docs Documents) Problems {
	v := validation{
		callers: make(map[string]bool, len(docs.Callers)),
		classes: make(map[string]bool, len(docs.Classes)),
	}
	v.checkClasses(docs.Classes)
	v.checkCallers(docs.Callers)
	v.checkServices(docs.Services)
	v.checkRoutes(docs.Routes)
	v.checkPolicy(docs.Policy)
	v.checkQuarantine(docs.Quarantine)
	return v.problems
}

type validation struct {
	problems Problems
	callers  map[string]bool
	classes  map[string]bool
}

func (v *validation) name(path, kind, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.problems.add(path+".name", nameMend, "%s name %q is not a name", kind, name)
		return
	}
	if seen[name] {
		v.problems.add(path+".name", "give each its own name or remove one", "there are two %ss with the name %q", kind, name)
	}
	seen[name] = true
}

func (v *validation) within(path string, value, least, most float64) {
	if !(value >= least && value <= most) { // also refuses NaN
		v.problems.add(path, fmt.Sprintf("set it to %v to %v", least, most), "%v is out of range", value)
	}
}

func (v *validation) duration(path string, value Duration, least, most time.Duration) {
	if d := time.Duration(value); d < least || d > most {
		v.problems.add(path, fmt.Sprintf("set it to %s to %s", least, most), "%s is out of range", d)
	}
}

func (v *validation) checkClasses(classes []Class) {
	if len(classes) == 0 {
		v.problems.add("classes", "add a class", "there is no class, and each request needs one")
	}
	total := 0.0
	for i, class := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		v.name(path, "class", class.Name, v.classes)
		v.within(path+".reserved_share", class.ReservedShare, 0, 1)
		v.duration(path+".default_deadline", class.DefaultDeadline, leastDeadline, mostDeadline)
		v.within(path+".max_queue", float64(class.MaxQueue), 0, mostQueue)
		total += class.ReservedShare
	}
	if total > mostShare {
		v.problems.add("classes", "lower them until they add up to 1 at most", "the reserved shares add up to %.4g", total)
	}
}

func (v *validation) checkCallers(callers []Caller) {
	tokens := make(map[string]string, len(callers))
	certificates := make(map[string]string, len(callers))
	for i, caller := range callers {
		path := fmt.Sprintf("callers[%d]", i)
		v.name(path, "caller", caller.Name, v.callers)
		v.within(path+".weight", caller.Weight, 0, mostWeight)
		if caller.TokenSHA256 == "" && caller.CertificateName == "" {
			v.problems.add(path, "set token_sha256 or certificate_name", "caller %q can't be recognised: it has no token hash and no certificate", caller.Name)
		}
		v.tokenHash(path+".token_sha256", caller, tokens)
		v.credential(path+".certificate_name", caller.Name, caller.CertificateName, certificates)
	}
}

func (v *validation) tokenHash(path string, caller Caller, owners map[string]string) {
	if caller.TokenSHA256 == "" {
		return
	}
	raw, err := hex.DecodeString(caller.TokenSHA256)
	if err != nil || len(raw) != sha256.Size {
		// The value isn't shown: it may be the token itself, put in by mistake.
		v.problems.add(path, fmt.Sprintf("write the token's SHA-256 as %d hexadecimal digits", 2*sha256.Size), "the token hash of caller %q is not a SHA-256", caller.Name)
		return
	}
	v.credential(path, caller.Name, strings.ToLower(caller.TokenSHA256), owners)
}

// credential refuses one credential for two callers: requests of one would
// be answered as the other's.
func (v *validation) credential(path, caller, value string, owners map[string]string) {
	if value == "" {
		return
	}
	if owner, taken := owners[value]; taken {
		v.problems.add(path, "give each caller its own", "callers %q and %q have the same credential", owner, caller)
	}
	owners[value] = caller
}

func (v *validation) checkServices(services []Service) {
	seen := make(map[string]bool, len(services))
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.name(path, "service", service.Name, seen)
		v.within(path+".slots_per_server", float64(service.SlotsPerServer), 1, mostSlots)
		v.within(path+".connections_per_server", float64(service.ConnectionsPerServer), 1, mostConnections)
	}
}

func (v *validation) checkRoutes(routes []Route) {
	seen := make(map[string]bool, len(routes))
	for i, route := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.name(path, "route", route.Name, seen)
		if !namePattern.MatchString(route.Index) {
			v.problems.add(path+".index", nameMend, "route %q names no index", route.Name)
		}
		v.references(path+".callers", "caller", route.Name, route.Callers, v.callers)
		v.references(path+".classes", "class", route.Name, route.Classes, v.classes)
		v.within(path+".least_coverage", route.MinCoverage, 0, 1)
		if route.MaxDeadline != 0 {
			v.duration(path+".max_deadline", route.MaxDeadline, leastDeadline, mostDeadline)
		}
		if route.Prefer != PreferLatency && route.Prefer != PreferCoverage {
			v.problems.add(path+".prefer", "set it to latency or coverage", "route %q has prefer %q", route.Name, route.Prefer)
		}
		v.kind(path, route)
	}
}

func (v *validation) kind(path string, route Route) {
	switch route.Kind {
	case KindQuery:
	case KindBooking:
		// Half a booking is a wrong answer: the caller would be told of an
		// outcome that some shard doesn't have.
		if route.MinCoverage != 1 {
			v.problems.add(path+".least_coverage", "set it to 1", "booking route %q takes partial answers", route.Name)
		}
		if route.Prefer == PreferLatency {
			v.problems.add(path+".prefer", "set it to coverage", "booking route %q would be cut off for latency", route.Name)
		}
	default:
		v.problems.add(path+".kind", "set it to query or booking", "route %q has kind %q", route.Name, route.Kind)
	}
}

func (v *validation) references(path, kind, route string, names []string, known map[string]bool) {
	if len(names) == 0 {
		v.problems.add(path, fmt.Sprintf("name at least one %s", kind), "route %q has no %s", route, kind)
	}
	for i, name := range names {
		place := fmt.Sprintf("%s[%d]", path, i)
		if !known[name] {
			v.problems.add(place, fmt.Sprintf("add the %s or remove the name", kind), "route %q names the %s %q, which does not exist", route, kind, name)
		}
		if slices.Index(names, name) != i {
			v.problems.add(place, "remove one", "route %q names the %s %q twice", route, kind, name)
		}
	}
}

func (v *validation) checkPolicy(p Policy) {
	v.within("policy.hedge_budget", p.HedgeBudget, 0, mostHedgeBudget)
	if p.HedgeQuantile != 0 {
		v.within("policy.hedge_quantile", p.HedgeQuantile, leastHedgeQuantile, 1)
	}
	v.within("policy.retry_budget", p.RetryBudget, 0, 1)
	v.within("policy.quarantine_servers", float64(p.QuarantineServers), 0, mostServers)
	v.duration("policy.quarantine_for", p.QuarantineDuration, 0, mostQuarantine)
	if p.AdviceTTL != 0 {
		v.duration("policy.advice_for", p.AdviceTTL, leastAdvice, mostAdvice)
	}
}

func (v *validation) checkQuarantine(overrides []QuarantineOverride) {
	seen := make(map[string]bool, len(overrides))
	for i, override := range overrides {
		path := fmt.Sprintf("quarantine[%d]", i)
		if override.Fingerprint == "" || len(override.Fingerprint) > maxNameBytes {
			v.problems.add(path+".fingerprint", "copy it from the quarantine list", "the fingerprint %q is not one", override.Fingerprint)
		}
		if seen[override.Fingerprint] {
			v.problems.add(path+".fingerprint", "remove one", "there are two overrides of %q", override.Fingerprint)
		}
		seen[override.Fingerprint] = true
		if override.Reason == "" {
			v.problems.add(path+".reason", "say why", "the override of %q has no reason", override.Fingerprint)
		}
	}
}
