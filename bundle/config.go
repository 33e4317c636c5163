package bundle

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/customer"
)

// Defaults of optional fields.
const (
	defaultMaxDeadline        = 30 * time.Second
	defaultMaxQueue           = 2048
	defaultHedgeBudget        = 0.02
	defaultHedgeQuantile      = 0.95
	defaultRetryBudget        = 0.1
	defaultQuarantineServers  = 2
	defaultQuarantineDuration = 10 * time.Minute
	defaultAdviceTTL          = 10 * time.Second
)

// Config is an accepted bundle, indexed for serving. It is immutable; each
// generation has its own.
type Config struct {
	// Generation is the number of the accepted bundle; on a host it only rises.
	Generation uint64
	Policy     Policy
	Classes    []Class

	routes       map[string]*Route
	callers      map[string]*Caller
	byToken      customer.Index[*Caller]
	byCommonName map[string]*Caller
	classes      map[string]int
	services     map[string]*Service
	overrides    map[string]QuarantineOverride
}

// Compile indexes valid documents and fills in the defaults. It copies the
// documents.
func Compile(generation uint64, docs Documents) (*Config, error) {
	c := &Config{
		Generation:   generation,
		Policy:       docs.Policy.withDefaults(),
		Classes:      append([]Class(nil), docs.Classes...),
		routes:       make(map[string]*Route, len(docs.Routes)),
		callers:      make(map[string]*Caller, len(docs.Callers)),
		byToken:      customer.NewIndex[*Caller](len(docs.Callers)),
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
	credential, err := customer.ParseCredential(caller.TokenSHA256)
	if err != nil {
		return errors.Wrapf(err, "caller %s: token_sha256", caller.Name)
	}
	c.byToken.Add(credential, &caller)
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
		p.QuarantineDuration = Duration(defaultQuarantineDuration)
	}
	if p.AdviceTTL == 0 {
		p.AdviceTTL = Duration(defaultAdviceTTL)
	}
	return p
}

// Route returns the route if the caller may use it. Other callers' routes are
// indistinguishable from missing ones.
func (c *Config) Route(name string, caller *Caller) (*Route, bool) {
	route, ok := c.routes[name]
	if !ok || !slices.Contains(route.Callers, caller.Name) {
		return nil, false
	}
	return route, true
}

// CallerByToken returns the caller with the bearer token. Only hashes are compared, so that the
// time of the comparison tells nothing about a token.
func (c *Config) CallerByToken(token string) (*Caller, bool) {
	return c.byToken.Lookup(customer.CredentialOf(token))
}

// CallerByCertificate returns the caller with the common name of a verified client
// certificate.
func (c *Config) CallerByCertificate(commonName string) (*Caller, bool) {
	caller, ok := c.byCommonName[commonName]
	return caller, ok
}

func (c *Config) Caller(name string) (*Caller, bool) {
	caller, ok := c.callers[name]
	return caller, ok
}

// Class returns the class and its index in Classes.
func (c *Config) Class(name string) (Class, int, bool) {
	i, ok := c.classes[name]
	if !ok {
		return Class{}, 0, false
	}
	return c.Classes[i], i, true
}

func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	if !ok {
		return Service{}, false
	}
	return *s, true
}

// Override returns the operators' override for a request fingerprint, if any.
func (c *Config) Override(fingerprint string) (QuarantineOverride, bool) {
	o, ok := c.overrides[fingerprint]
	return o, ok
}
