// Package bundle owns the configuration bundle: its documents, their checks,
// the signed manifest that names them by content hash, and the compiled form
// that hosts serve from.
package bundle

import "time"

// PartialStrategy says what a route's answers give up first when time runs short. It
// is the route's partial-response strategy.
type PartialStrategy string

// The partial-response strategies.
const (
	// PreferLatency answers before the deadline with what is there.
	PreferLatency PartialStrategy = "latency"
	// PreferCoverage spends all the caller's time on the last shards.
	PreferCoverage PartialStrategy = "coverage"
)

// RouteKind tells searches from bookings.
type RouteKind string

// The kinds of routes.
const (
	// KindQuery: idempotent; may be hedged and retried.
	KindQuery RouteKind = "query"
	// KindBooking: not idempotent; runs at most once.
	KindBooking RouteKind = "booking"
)

// Documents is the content of a bundle, as operators write it in YAML. Keys
// that are not named here are refused.
type Documents struct {
	Routes   []Route   `yaml:"routes" json:"routes"`
	Callers  []Caller  `yaml:"callers" json:"callers"`
	Classes  []Class   `yaml:"classes" json:"classes"`
	Services []Service `yaml:"services" json:"services"`
	Policy   Policy    `yaml:"policy" json:"policy"`
	// Quarantine lists operators' overrides of the quarantine of requests.
	Quarantine []QuarantineOverride `yaml:"quarantine,omitempty" json:"quarantine,omitempty"`
}

// Route names the index a query may search and the callers that may use it.
type Route struct {
	Name  string    `yaml:"name" json:"name"`
	Kind  RouteKind `yaml:"kind" json:"kind"`
	Index string    `yaml:"index" json:"index"`
	// Callers are the names of the callers that may use the route.
	Callers []string `yaml:"callers" json:"callers"`
	// Classes are the classes a request on the route may have; the first is the default.
	Classes []string        `yaml:"classes" json:"classes"`
	Prefer  PartialStrategy `yaml:"prefer" json:"prefer"`
	// MinCoverage is the share of shards, 0 to 1, below which the caller
	// gets a refusal in place of an answer.
	MinCoverage float64 `yaml:"least_coverage" json:"least_coverage"`
	// MaxDeadline bounds the time that a request may take; default 30 s.
	MaxDeadline Duration `yaml:"max_deadline,omitempty" json:"max_deadline,omitempty"`
}

// Caller is one customer's program that sends requests.
type Caller struct {
	Name string `yaml:"name" json:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 of the caller's bearer token.
	TokenSHA256 string `yaml:"token_sha256,omitempty" json:"token_sha256,omitempty"`
	// CertificateName is the common name of the caller's client certificate.
	CertificateName string `yaml:"certificate_name,omitempty" json:"certificate_name,omitempty"`
	// Weight is the caller's share against the other callers of a class; default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
}

// Class is a class of requests with a reserved share of each service.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// ReservedShare is the share of slots, 0 to 1, kept for the class while
	// it has work; the shares add up to at most 1.
	ReservedShare float64 `yaml:"reserved_share" json:"reserved_share"`
	// DefaultDeadline is for requests that state none.
	DefaultDeadline Duration `yaml:"default_deadline" json:"default_deadline"`
	// MaxQueue bounds the waiting legs of the class at one home; default 2048.
	MaxQueue int `yaml:"max_queue,omitempty" json:"max_queue,omitempty"`
}

// Service is a set of backend servers that hold the same shards.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// SlotsPerServer is how many requests a server serves at once.
	SlotsPerServer int `yaml:"slots_per_server" json:"slots_per_server"`
	// ConnectionsPerServer is the server's connection limit over all hosts.
	ConnectionsPerServer int `yaml:"connections_per_server" json:"connections_per_server"`
}

// Policy holds the limits of the decisions under load.
type Policy struct {
	// HedgeBudget is the extra load that hedges may add, as a share; default 0.02.
	HedgeBudget float64 `yaml:"hedge_budget,omitempty" json:"hedge_budget,omitempty"`
	// HedgeQuantile is the quantile of service time past which a leg is
	// hedged; default 0.95.
	HedgeQuantile float64 `yaml:"hedge_quantile,omitempty" json:"hedge_quantile,omitempty"`
	// RetryBudget is the share of requests that may be retries; default 0.1.
	RetryBudget float64 `yaml:"retry_budget,omitempty" json:"retry_budget,omitempty"`
	// QuarantineServers is how many different servers a request may be
	// suspected of crashing before it is refused; default 2.
	QuarantineServers int `yaml:"quarantine_servers,omitempty" json:"quarantine_servers,omitempty"`
	// QuarantineDuration is how long a quarantine lasts; default 10 minutes.
	QuarantineDuration Duration `yaml:"quarantine_for,omitempty" json:"quarantine_for,omitempty"`
	// AdviceTTL is how long callers may keep the advice on hosts; default 10 s.
	AdviceTTL Duration `yaml:"advice_for,omitempty" json:"advice_for,omitempty"`
}

// QuarantineOverride is an operator's word on one request fingerprint.
type QuarantineOverride struct {
	Fingerprint string `yaml:"fingerprint" json:"fingerprint"`
	// Refuse true keeps it refused, false lets it through.
	Refuse bool   `yaml:"refuse" json:"refuse"`
	Reason string `yaml:"reason" json:"reason"`
}

// Duration is a time.Duration written as in Go ("250ms") in YAML and JSON.
type Duration time.Duration

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
