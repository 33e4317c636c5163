package bundle

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Defaults of settings that documents may leave out.
const (
	defaultMaxDeadline       = 30 * time.Second
	defaultMaxQueue          = 2048
	defaultHedgeBudget       = 0.02
	defaultHedgeQuantile     = 0.95
	defaultRetryBudget       = 0.1
	defaultQuarantineServers = 2
	defaultQuarantineFor     = 10 * time.Minute
	defaultAdviceFor         = 10 * time.Second
)

// Config is an accepted bundle in the form that hosts serve from. It is
// immutable; each generation makes a new one.
type Config struct {
	// Generation numbers accepted bundles; a host only ever goes up.
	Generation uint64
	Policy     Policy
	Classes    []Class

	routes       map[string]*Route
	callers      map[string]*Caller
	byToken      map[[sha256.Size]byte]*Caller
	byCommonName map[string]*Caller
	classes      map[string]int
	services     map[string]*Service
	overrides    map[string]QuarantineOverride
}

// Compile indexes valid documents and fills in the defaults. The documents are
// copied, not kept.
func Compile(generation uint64, docs Documents) (*Config, error) {
	c := &Config{
		Generation:   generation,
		Policy:       docs.Policy.withDefaults(),
		Classes:      append([]Class(nil), docs.Classes...),
		routes:       make(map[string]*Route, len(docs.Routes)),
		callers:      make(map[string]*Caller, len(docs.Callers)),
		byToken:      make(map[[sha256.Size]byte]*Caller, len(docs.Callers)),
		byCommonName: make(map[string]*Caller, len(docs.Callers)),
		classes:      make(map[string]int, len(docs.Classes)),
		services:     make(map[string]*Service, len(docs.Services)),
		overrides:    make(map[string]QuarantineOverride, len(docs.Quarantine)),
	}
	for i := range c.Classes {
		if c.Classes[i].MaxQueue == 0 {
			c.Classes[i].MaxQueue = defaultMaxQueue
		}
		c.classes[c.Classes[i].Name] = i
	}
	for _, service := range docs.Services {
		c.services[service.Name] = &service
	}
	for _, route := range docs.Routes {
		if route.MaxDeadline == 0 {
			route.MaxDeadline = Duration(defaultMaxDeadline)
		}
		c.routes[route.Name] = &route
	}
	for _, caller := range docs.Callers {
		if err := c.addCaller(caller); err != nil {
			return nil, err
		}
	}
	for _, override := range docs.Quarantine {
		c.overrides[override.Fingerprint] = override
	}
	return c, nil
}

func (c *Config) addCaller(caller Caller) error {
	if caller.Weight == 0 {
		caller.Weight = 1
	}
	c.callers[caller.Name] = &caller
	if caller.CertificateName != "" {
		c.byCommonName[caller.CertificateName] = &caller
	}
	if caller.TokenSHA256 == "" {
		return nil
	}
	raw, err := hex.DecodeString(caller.TokenSHA256)
	if err != nil || len(raw) != sha256.Size {
		return errors.Errorf("caller %s: token_sha256 must be %d hexadecimal digits", caller.Name, 2*sha256.Size)
	}
	c.byToken[[sha256.Size]byte(raw)] = &caller
	return nil
}

func (p Policy) withDefaults() Policy {
	if p.HedgeBudget == 0 {
		p.HedgeBudget = defaultHedgeBudget
	}
	if p.HedgeQuantile == 0 {
		p.HedgeQuantile = defaultHedgeQuantile
	}
	if p.RetryBudget == 0 {
		p.RetryBudget = defaultRetryBudget
	}
	if p.QuarantineServers == 0 {
		p.QuarantineServers = defaultQuarantineServers
	}
	if p.QuarantineDuration == 0 {
		p.QuarantineDuration = Duration(defaultQuarantineFor)
	}
	if p.AdviceTTL == 0 {
		p.AdviceTTL = Duration(defaultAdviceFor)
	}
	return p
}

// Route returns the route if the caller may use it. A route that exists but
// is not the caller's reads the same as one that does not exist.
func (c *Config) Route(name string, caller *Caller) (*Route, bool) {
	route, ok := c.routes[name]
	if !ok || !slices.Contains(route.Callers, caller.Name) {
		return nil, false
	}
	return route, true
}

// CallerByToken finds the caller of a bearer token. Only hashes are compared.
func (c *Config) CallerByToken(token string) (*Caller, bool) {
	sum := sha256.Sum256([]byte(token))
	caller, ok := c.byToken[sum]
	if !ok {
		return nil, false
	}
	want, err := hex.DecodeString(caller.TokenSHA256)
	return caller, err == nil && subtle.ConstantTimeCompare(want, sum[:]) == 1
}

// CallerByCertificate finds the caller of a verified client certificate.
func (c *Config) CallerByCertificate(commonName string) (*Caller, bool) {
	caller, ok := c.byCommonName[commonName]
	return caller, ok
}

// Caller returns the caller with the name.
func (c *Config) Caller(name string) (*Caller, bool) {
	caller, ok := c.callers[name]
	return caller, ok
}

// Class returns the class and its position in Classes.
func (c *Config) Class(name string) (Class, int, bool) {
	i, ok := c.classes[name]
	if !ok {
		return Class{}, 0, false
	}
	return c.Classes[i], i, true
}

// Service returns the service with the name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	if !ok {
		return Service{}, false
	}
	return *s, true
}

// Override returns the operator's word on a request fingerprint, if any.
func (c *Config) Override(fingerprint string) (QuarantineOverride, bool) {
	o, ok := c.overrides[fingerprint]
	return o, ok
}
