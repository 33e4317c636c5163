// Package bundle implements the configuration bundle: its documents and their
// validation, the signed manifest that lists them by content hash, and the
// compiled form that hosts serve from.
package bundle

import "time"

// PartialStrategy is a route's partial-response strategy: what its answers give up
// first when time runs short.
type PartialStrategy string

// The partial-response strategies.
const (
	// PreferLatency answers before the deadline with the shards available.
	PreferLatency PartialStrategy = "latency"
	// PreferCoverage waits for the last shards until the deadline.
	PreferCoverage PartialStrategy = "coverage"
)

// RouteKind distinguishes queries from bookings.
type RouteKind string

// The kinds of routes.
const (
	// KindQuery is idempotent; requests may be hedged and retried.
	KindQuery RouteKind = "query"
	// KindBooking is not idempotent; requests run at most once.
	KindBooking RouteKind = "booking"
)

// Documents is the content of a bundle, as operators write it in YAML. Unknown
// keys are refused.
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
	// Callers lists the callers that may use the route.
	Callers []string `yaml:"callers" json:"callers"`
	// Classes lists the classes that requests may have; the first is the default.
	Classes []string        `yaml:"classes" json:"classes"`
	Prefer  PartialStrategy `yaml:"prefer" json:"prefer"`
	// MinCoverage is the share of shards, 0 to 1, below which the request is
	// refused instead of answered.
	MinCoverage float64 `yaml:"least_coverage" json:"least_coverage"`
	// MaxDeadline bounds the deadline of a request; default 30 s.
	MaxDeadline Duration `yaml:"max_deadline,omitempty" json:"max_deadline,omitempty"`
}

// Caller is one customer's program that sends requests.
type Caller struct {
	Name string `yaml:"name" json:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 of the caller's bearer token.
	TokenSHA256 string `yaml:"token_sha256,omitempty" json:"token_sha256,omitempty"`
	// CertificateName is the common name of the caller's client certificate.
	CertificateName string `yaml:"certificate_name,omitempty" json:"certificate_name,omitempty"`
	// Weight is the caller's fair-share weight within a class; default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
}

// Class is a class of requests with a reserved share of each service.
type Class struct {
	Name string `yaml:"name" json:"name"`
	// ReservedShare is the share of slots, 0 to 1, reserved for the class while it
	// has work; the shares sum to at most 1.
	ReservedShare float64 `yaml:"reserved_share" json:"reserved_share"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline Duration `yaml:"default_deadline" json:"default_deadline"`
	// MaxQueue bounds the queued legs of the class at one home; default 2048.
	MaxQueue int `yaml:"max_queue,omitempty" json:"max_queue,omitempty"`
}

// Service is a set of backend servers that hold the same shards.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// SlotsPerServer is a server's concurrency limit.
	SlotsPerServer int `yaml:"slots_per_server" json:"slots_per_server"`
	// ConnectionsPerServer is a server's connection limit over all hosts.
	ConnectionsPerServer int `yaml:"connections_per_server" json:"connections_per_server"`
}

// Policy holds the limits of hedging, retries, quarantine and advice.
type Policy struct {
	// HedgeBudget is the share of extra load that hedges may add; default 0.02.
	HedgeBudget float64 `yaml:"hedge_budget,omitempty" json:"hedge_budget,omitempty"`
	// HedgeQuantile is the service time quantile after which a leg is hedged;
	// default 0.95.
	HedgeQuantile float64 `yaml:"hedge_quantile,omitempty" json:"hedge_quantile,omitempty"`
	// RetryBudget is the share of requests that may be retries; default 0.1.
	RetryBudget float64 `yaml:"retry_budget,omitempty" json:"retry_budget,omitempty"`
	// QuarantineServers is the number of distinct servers that a request must be
	// suspected of crashing to be refused; default 2.
	QuarantineServers int `yaml:"quarantine_servers,omitempty" json:"quarantine_servers,omitempty"`
	// QuarantineDuration is how long a quarantine lasts; default 10 minutes.
	QuarantineDuration Duration `yaml:"quarantine_for,omitempty" json:"quarantine_for,omitempty"`
	// AdviceTTL is how long callers may cache the advice on hosts; default 10 s.
	AdviceTTL Duration `yaml:"advice_for,omitempty" json:"advice_for,omitempty"`
}

// QuarantineOverride is an operator's override for one request fingerprint.
type QuarantineOverride struct {
	Fingerprint string `yaml:"fingerprint" json:"fingerprint"`
	// Refuse keeps the request refused if true and admits it if false.
	Refuse bool   `yaml:"refuse" json:"refuse"`
	Reason string `yaml:"reason" json:"reason"`
}

// Duration is a time.Duration in Go notation ("250ms") in YAML and JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
