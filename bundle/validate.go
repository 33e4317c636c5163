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

// Bounds of the documents' values.
const (
	minDeadline           = time.Millisecond
	maxDeadline           = 10 * time.Minute
	maxQueue              = 100_000
	maxWeight             = 1000
	maxSlots              = 1024
	maxConnections        = 65_535
	maxHedgeBudget        = 0.5
	minHedgeQuantile      = 0.5
	maxQuarantineDuration = 24 * time.Hour
	maxQuarantineServers  = 100
	minAdviceTTL          = time.Second
	maxAdviceTTL          = settings.MaxAdviceTTL
	maxTotalShare         = 1 + 1e-9 // shares written as thirds may add up to a little over 1
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameFix = "use 1 to 63 letters, digits, dots, underscores or hyphens"

// Validate returns all semantic problems of the documents.
func Validate(docs Documents) Problems {
	v := validator{
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

type validator struct {
	problems Problems
	callers  map[string]bool
	classes  map[string]bool
}

func (v *validator) checkName(path, kind, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.problems.add(path+".name", nameFix, "%s name %q is not valid", kind, name)
		return
	}
	if seen[name] {
		v.problems.add(path+".name", "give each its own name or remove one", "there are two %ss with the name %q", kind, name)
	}
	seen[name] = true
}

func (v *validator) checkRange(path string, value, low, high float64) {
	if !(value >= low && value <= high) { // also refuses NaN
		v.problems.add(path, fmt.Sprintf("set it to %v to %v", low, high), "%v is out of range", value)
	}
}

func (v *validator) checkDuration(path string, value Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		v.problems.add(path, fmt.Sprintf("set it to %s to %s", low, high), "%s is out of range", d)
	}
}

func (v *validator) checkClasses(classes []Class) {
	if len(classes) == 0 {
		v.problems.add("classes", "add a class", "there is no class, and each request needs one")
	}
	total := 0.0
	for i, class := range classes {
		path := fmt.Sprintf("classes[%d]", i)
		v.checkName(path, "class", class.Name, v.classes)
		v.checkRange(path+".reserved_share", class.ReservedShare, 0, 1)
		v.checkDuration(path+".default_deadline", class.DefaultDeadline, minDeadline, maxDeadline)
		v.checkRange(path+".max_queue", float64(class.MaxQueue), 0, maxQueue)
		total += class.ReservedShare
	}
	if total > maxTotalShare {
		v.problems.add("classes", "lower them until they add up to 1 at most", "the reserved shares add up to %.4g", total)
	}
}

func (v *validator) checkCallers(callers []Caller) {
	tokens := make(map[string]string, len(callers))
	certificates := make(map[string]string, len(callers))
	for i, caller := range callers {
		path := fmt.Sprintf("callers[%d]", i)
		v.checkName(path, "caller", caller.Name, v.callers)
		v.checkRange(path+".weight", caller.Weight, 0, maxWeight)
		if caller.TokenSHA256 == "" && caller.CertificateName == "" {
			v.problems.add(path, "set token_sha256 or certificate_name", "caller %q can't be recognised: it has no token hash and no certificate", caller.Name)
		}
		v.checkTokenHash(path+".token_sha256", caller, tokens)
		v.checkCredential(path+".certificate_name", caller.Name, caller.CertificateName, certificates)
	}
}

func (v *validator) checkTokenHash(path string, caller Caller, owners map[string]string) {
	if caller.TokenSHA256 == "" {
		return
	}
	raw, err := hex.DecodeString(caller.TokenSHA256)
	if err != nil || len(raw) != sha256.Size {
		// Omit the value, which may be the token itself.
		v.problems.add(path, fmt.Sprintf("write the token's SHA-256 as %d hexadecimal digits", 2*sha256.Size), "the token hash of caller %q is not a SHA-256", caller.Name)
		return
	}
	v.checkCredential(path, caller.Name, strings.ToLower(caller.TokenSHA256), owners)
}

// checkCredential refuses a credential shared by two callers.
func (v *validator) checkCredential(path, caller, value string, owners map[string]string) {
	if value == "" {
		return
	}
	if owner, taken := owners[value]; taken {
		v.problems.add(path, "give each caller its own", "callers %q and %q have the same credential", owner, caller)
	}
	owners[value] = caller
}

func (v *validator) checkServices(services []Service) {
	seen := make(map[string]bool, len(services))
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path, "service", service.Name, seen)
		v.checkRange(path+".slots_per_server", float64(service.SlotsPerServer), 1, maxSlots)
		v.checkRange(path+".connections_per_server", float64(service.ConnectionsPerServer), 1, maxConnections)
	}
}

func (v *validator) checkRoutes(routes []Route) {
	seen := make(map[string]bool, len(routes))
	for i, route := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.checkName(path, "route", route.Name, seen)
		if !namePattern.MatchString(route.Index) {
			v.problems.add(path+".index", nameFix, "route %q names no index", route.Name)
		}
		v.checkReferences(path+".callers", "caller", route.Name, route.Callers, v.callers)
		v.checkReferences(path+".classes", "class", route.Name, route.Classes, v.classes)
		v.checkRange(path+".least_coverage", route.MinCoverage, 0, 1)
		if route.MaxDeadline != 0 {
			v.checkDuration(path+".max_deadline", route.MaxDeadline, minDeadline, maxDeadline)
		}
		if route.Prefer != PreferLatency && route.Prefer != PreferCoverage {
			v.problems.add(path+".prefer", "set it to latency or coverage", "route %q has prefer %q", route.Name, route.Prefer)
		}
		v.checkKind(path, route)
	}
}

func (v *validator) checkKind(path string, route Route) {
	switch route.Kind {
	case KindQuery:
	case KindBooking:
		// A booking has no partial answer.
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

func (v *validator) checkReferences(path, kind, route string, names []string, known map[string]bool) {
	if len(names) == 0 {
		v.problems.add(path, fmt.Sprintf("name at least one %s", kind), "route %q has no %s", route, kind)
	}
	for i, name := range names {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !known[name] {
			v.problems.add(itemPath, fmt.Sprintf("add the %s or remove the name", kind), "route %q names the %s %q, which does not exist", route, kind, name)
		}
		if slices.Index(names, name) != i {
			v.problems.add(itemPath, "remove one", "route %q names the %s %q twice", route, kind, name)
		}
	}
}

func (v *validator) checkPolicy(p Policy) {
	v.checkRange("policy.hedge_budget", p.HedgeBudget, 0, maxHedgeBudget)
	if p.HedgeQuantile != 0 {
		v.checkRange("policy.hedge_quantile", p.HedgeQuantile, minHedgeQuantile, 1)
	}
	v.checkRange("policy.retry_budget", p.RetryBudget, 0, 1)
	v.checkRange("policy.quarantine_servers", float64(p.QuarantineServers), 0, maxQuarantineServers)
	v.checkDuration("policy.quarantine_for", p.QuarantineDuration, 0, maxQuarantineDuration)
	if p.AdviceTTL != 0 {
		v.checkDuration("policy.advice_for", p.AdviceTTL, minAdviceTTL, maxAdviceTTL)
	}
}

func (v *validator) checkQuarantine(overrides []QuarantineOverride) {
	seen := make(map[string]bool, len(overrides))
	for i, override := range overrides {
		path := fmt.Sprintf("quarantine[%d]", i)
		if override.Fingerprint == "" || len(override.Fingerprint) > maxNameBytes {
			v.problems.add(path+".fingerprint", "copy it from the quarantine list", "%q is not a fingerprint", override.Fingerprint)
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
