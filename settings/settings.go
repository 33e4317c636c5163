// Package settings owns the settings file of an entry host: strict YAML, every
// problem listed at once with file, line and column.
package settings

import "time"

// Settings is what one entry host is told when it starts. Everything that all
// hosts must agree on is in the configuration bundle instead.
type Settings struct {
	Host      Host      `yaml:"host"`
	Listeners Listeners `yaml:"listeners"`
	Platform  Platform  `yaml:"platform"`
	Peers     []string  `yaml:"peers,omitempty" validate:"unique,max=64,dive,ip_port"` // peers' listeners to start from, IP and port
	TLS       TLS       `yaml:"tls"`
	Keys      Keys      `yaml:"keys"`
	Limits    Limits    `yaml:"limits"`
	Log       Log       `yaml:"log"`
}

// Host says who this entry host is.
type Host struct {
	Name   string `yaml:"name" validate:"required,max=63"`
	Region string `yaml:"region" validate:"required,max=63"`
	Zone   string `yaml:"zone" validate:"required,max=63"` // availability zone
}

// Listeners are the addresses, IP and port, that the host listens on. Others
// are told the callers' and peers' address, so neither may be a wildcard.
type Listeners struct {
	Callers   string `yaml:"callers" validate:"required,ip_port"`
	Peers     string `yaml:"peers" validate:"required,ip_port"`
	Operators string `yaml:"operators" validate:"required,ip_port"`
}

// Platform says where the object API and the host list are.
type Platform struct {
	Addresses []string      `yaml:"addresses" validate:"required,min=1,unique,dive,ip_port"`
	Timeout   time.Duration `yaml:"timeout" validate:"min=50ms,max=30s"` // of one call
}

// TLS names the certificate files of the listeners.
type TLS struct {
	// PlainText serves and speaks without TLS. It must be said explicitly.
	PlainText bool    `yaml:"plain_text"`
	Callers   KeyPair `yaml:"callers,omitempty"`
	Peers     KeyPair `yaml:"peers,omitempty"` // mutual
	Operators KeyPair `yaml:"operators,omitempty"`
}

// KeyPair names the PEM files of one listener; they are read again when they change.
type KeyPair struct {
	Certificate string `yaml:"certificate,omitempty"`
	Key         string `yaml:"key,omitempty"`
	// Authorities verify the other side's certificate.
	Authorities string `yaml:"authorities,omitempty"`
}

// Keys are the ed25519 public keys, in base64, that may sign bundles. A bundle
// needs an author and another reviewer, so fewer than two could accept none.
type Keys struct {
	Signers []Signer `yaml:"signers" validate:"required,min=2,max=64,unique=Name,unique=PublicKey,dive"`
}

// Signer is a person who may author or review bundles.
type Signer struct {
	Name      string `yaml:"name" validate:"required,max=63"`
	PublicKey string `yaml:"public_key" validate:"required,ed25519_key"`
}

// Limits bound what one host takes on.
type Limits struct {
	MaxBodyBytes      int           `yaml:"max_body_bytes" validate:"min=1024,max=16777216"`        // of one request
	MaxConcurrent     int           `yaml:"max_concurrent" validate:"min=1,max=100000"`             // requests at once
	MaxBytesInFlight  int           `yaml:"max_bytes_in_flight" validate:"min=1024,max=4294967296"` // bodies of all requests at once
	HeaderTimeout     time.Duration `yaml:"header_timeout" validate:"min=100ms,max=1m"`             // to read a request's head
	BodyTimeout       time.Duration `yaml:"body_timeout" validate:"min=100ms,max=5m"`               // to read a whole request
	StopTimeout       time.Duration `yaml:"stop_wait" validate:"min=1s,max=10m"`                    // a planned stop takes at most
	CutOffAfter       time.Duration `yaml:"cut_off_after" validate:"min=500ms,max=1m"`              // silence of platform and peers before refusing
	BackendReplyBytes int           `yaml:"backend_reply_bytes" validate:"min=1024,max=268435456"`  // of one backend server's reply
}

// Log says what the host writes to standard error.
type Log struct {
	Level  string `yaml:"level" validate:"oneof=debug info warn error"`
	Format string `yaml:"format" validate:"oneof=json console"`
}

// LongestAdvice is the longest time that a bundle may let callers keep the
// advice on entry hosts. A stopping host must outlast it twice: once for
// advice given just before it left, once for the work that still comes of it.
const LongestAdvice = 20 * time.Second

// Defaults are the values of the keys that a file may leave out.
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
