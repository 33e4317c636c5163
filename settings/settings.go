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
	Peers     []string  `yaml:"peers,omitempty"` // peers' listeners to start from, IP and port
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

// Listeners are the addresses, IP and port, that the host listens on.
type Listeners struct {
	Callers   string `yaml:"callers" validate:"required,hostport_ip"`
	Peers     string `yaml:"peers" validate:"required,hostport_ip"`
	Operators string `yaml:"operators" validate:"required,hostport_ip"`
}

// Platform says where the object API and the host list are.
type Platform struct {
	Addresses []string      `yaml:"addresses" validate:"required,min=1,dive,hostport_ip"`
	Timeout   time.Duration `yaml:"timeout"` // of one call; default 2s; 50ms to 30s
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

// Keys are the ed25519 public keys, in base64, that may sign bundles.
type Keys struct {
	Signers []Signer `yaml:"signers" validate:"required,min=1,dive"`
}

// Signer is a person who may author or review bundles.
type Signer struct {
	Name      string `yaml:"name" validate:"required"`
	PublicKey string `yaml:"public_key" validate:"required,base64"`
}

// Limits bound what one host takes on.
type Limits struct {
	MaxBodyBytes      int           `yaml:"max_body_bytes"`      // of a request; default 256 KiB; 1 KiB to 16 MiB
	MaxConcurrent     int           `yaml:"max_concurrent"`      // requests at once; default 2048; 1 to 100000
	HeaderTimeout     time.Duration `yaml:"header_timeout"`      // to read a request's head; default 5s
	BodyTimeout       time.Duration `yaml:"body_timeout"`        // to read a whole request; default 10s
	StopWait          time.Duration `yaml:"stop_wait"`           // a planned stop takes at most; default 45s; must be over twice the advice time
	CutOffAfter       time.Duration `yaml:"cut_off_after"`       // silence of platform and peers before refusing; default 4s
	BackendReplyBytes int           `yaml:"backend_reply_bytes"` // of one backend server's reply; default 4 MiB
}

// Log says what the host writes to standard error.
type Log struct {
	Level  string `yaml:"level" validate:"omitempty,oneof=debug info warn error"` // default info
	Format string `yaml:"format" validate:"omitempty,oneof=json console"`         // default json
}
