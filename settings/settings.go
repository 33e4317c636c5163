// Package settings implements the settings file of an entry host. It parses YAML
// strictly and reports all problems at once with file, line and column.
package settings

import "time"

// Settings is the local configuration of an entry host. Configuration shared by all
// hosts is in the configuration bundle.
type Settings struct {
	Host      Host      `yaml:"host"`
	Listeners Listeners `yaml:"listeners"`
	Platform  Platform  `yaml:"platform"`
	Peers     []string  `yaml:"peers,omitempty" validate:"unique,max=64,dive,ip_port"` // peer listeners for bootstrap, IP and port
	TLS       TLS       `yaml:"tls"`
	Keys      Keys      `yaml:"keys"`
	Limits    Limits    `yaml:"limits"`
	Log       Log       `yaml:"log"`
}

// Host identifies this entry host.
type Host struct {
	Name   string `yaml:"name" validate:"required,max=63"`
	Region string `yaml:"region" validate:"required,max=63"`
	Zone   string `yaml:"zone" validate:"required,max=63"` // availability zone
}

// Listeners holds the listen addresses, IP and port. The caller and peer addresses
// are advertised, so they can't be wildcards.
type Listeners struct {
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Peers     string `yaml:"peers" validate:"required,ip_port"`
	Operators string `yaml:"operators" validate:"required,ip_port"`
}

// Platform configures access to the object API and the host list.
type Platform struct {
	Addresses []string      `yaml:"addresses" validate:"required,min=1,unique,dive,ip_port"`
	Timeout   time.Duration `yaml:"timeout" validate:"min=50ms,max=30s"` // of one call
}

// TLS names the certificate files of the listeners.
type TLS struct {
	// PlainText disables TLS on the listeners and between hosts.
	PlainText bool    `yaml:"plain_text"`
	Callers   KeyPair `yaml:"callers,omitempty"`
	Peers     KeyPair `yaml:"peers,omitempty"` // mutual TLS
	Operators KeyPair `yaml:"operators,omitempty"`
}

// KeyPair names the PEM files of one listener, which are reloaded when they change.
type KeyPair struct {
	CertFile string `yaml:"certificate,omitempty"`
	KeyFile  string `yaml:"key,omitempty"`
	// CAFile holds the authorities that verify the other side's certificate.
	CAFile string `yaml:"authorities,omitempty"`
}

// Keys holds the signers of bundles. A bundle needs two signers, an author and a
// reviewer.
type Keys struct {
	Signers []Signer `yaml:"signers" validate:"required,min=2,max=64,unique=Name,unique=PublicKey,dive"`
}

// Signer is a person who may author or review bundles, with an ed25519 public key
// in base64.
type Signer struct {
	Name      string `yaml:"name" validate:"required,max=63"`
	PublicKey string `yaml:"public_key" validate:"required,ed25519_key"`
}

// Limits holds the resource limits and timeouts of a host.
type Limits struct {
	MaxBodyBytes      int           `yaml:"max_body_bytes" validate:"min=1024,max=16777216"`        // of one request
	MaxConcurrent     int           `yaml:"max_concurrent" validate:"min=1,max=100000"`             // requests at once
	MaxBytesInFlight  int           `yaml:"max_bytes_in_flight" validate:"min=1024,max=4294967296"` // bodies of all requests at once; validated, but not applied
	HeaderTimeout     time.Duration `yaml:"header_timeout" validate:"min=100ms,max=1m"`             // to read a request's header
	BodyTimeout       time.Duration `yaml:"body_timeout" validate:"min=100ms,max=5m"`               // to read a whole request
	StopTimeout       time.Duration `yaml:"stop_wait" validate:"min=1s,max=10m"`                    // bound on a planned stop
	CutOffAfter       time.Duration `yaml:"cut_off_after" validate:"min=500ms,max=1m"`              // silence of platform and peers before refusing
	BackendReplyBytes int           `yaml:"backend_reply_bytes" validate:"min=1024,max=268435456"`  // of one backend server's reply
}

// Log configures the log on standard error.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=json console"`
}

// MaxAdviceTTL bounds how long a bundle may let callers cache the advice on entry
// hosts. A planned stop must last longer than twice this time.
const MaxAdviceTTL = 20 * time.Second

// Defaults returns the values of optional keys.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Limits: Limits{
			MaxBodyBytes:      256 << 10,
			MaxConcurrent:     2048,
			MaxBytesInFlight:  64 << 20,
			HeaderTimeout:     5 * time.Second,
			BodyTimeout:       10 * time.Second,
			StopTimeout:       45 * time.Second,
			CutOffAfter:       4 * time.Second,
			BackendReplyBytes: 4 << 20,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}
