// Package customer identifies the customers that send requests, by their keys.
package customer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Customer is an organization whose callers send requests.
type Customer struct {
	Name string
	// Priority takes precedence over that of a route; nil if the customer has none. 0 is the
	// highest.
	Priority *int
	// Weight is the customer's part of a scarce service relative to other customers; 0 means 1.
	Weight float64
	Limit  Limit
}

// Limit bounds the requests of a customer over all hosts. The zero value is no limit.
type Limit struct {
	PerSecond float64 // requests per second
	Burst     float64 // requests beyond that at once
}

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// Credential is the hash of a key. Keys themselves are kept nowhere.
type Credential [sha256.Size]byte

// CredentialOf returns the hash of a key.
func CredentialOf(key string) Credential { return sha256.Sum256([]byte(key)) }

// ParseCredential parses the hexadecimal form of a hash.
func ParseCredential(text string) (Credential, error) {
	hash, err := hex.DecodeString(text)
	if err != nil || len(hash) != sha256.Size {
		return Credential{}, errors.Errorf("the hash of a key must be %d hexadecimal digits", 2*sha256.Size)
	}
	return Credential(hash), nil
}

// String returns the first digits of the hash, by which operators can tell keys apart in logs.
func (c Credential) String() string { return hex.EncodeToString(c[:shownBytes]) }

const shownBytes = 4

// IsZero reports whether there is no key.
func (c Credential) IsZero() bool { return c == Credential{} }

// Account is a customer with the hashes of its keys, as configured.
type Account struct {
	Customer
	Credentials []Credential
}
