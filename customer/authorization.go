package customer

import (
	"strconv"
	"strings"
)

// MaxKeyBytes is the length of the longest key. It bounds the bytes that a request without a
// valid key makes a host hash.
const MaxKeyBytes = 4096

// scheme is the authentication scheme of keys (RFC 6750); its case does not matter.
const scheme = "Bearer"

// Problem is why a request's key is not accepted. It never contains the key.
type Problem struct {
	// Name identifies the problem in metrics and logs.
	Name   string
	detail string
}

// Error returns the problem and what the caller can do about it.
func (p *Problem) Error() string { return p.detail }

// The problems of a request's key.
var (
	ErrNoKey       = &Problem{"no_key", "the request has no key: send one as scheme Bearer, a space and the key"}
	ErrRepeatedKey = &Problem{"repeated_key", "the request has several keys: send one"}
	ErrScheme      = &Problem{"scheme", "the key is not sent with the scheme Bearer: send scheme Bearer, a space and the key"}
	ErrMalformed   = &Problem{"malformed_key", "the key is empty or contains spaces or other characters than visible ASCII: send scheme Bearer, a space and the key"}
	ErrTooLong     = &Problem{"long_key", "the key is longer than " + strconv.Itoa(MaxKeyBytes) + " bytes"}
	ErrUnknownKey  = &Problem{"unknown_key", "the key is of no customer: it was removed or is misspelled"}
)

// ParseAuthorization returns the key in the values of a request's authorization header.
func ParseAuthorization(values []string) (key string, problem *Problem) {
	switch len(values) {
	case 0:
		return "", ErrNoKey
	case 1:
	default:
		return "", ErrRepeatedKey
	}
	name, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if name == "" {
		return "", ErrNoKey
	}
	if !strings.EqualFold(name, scheme) {
		return "", ErrScheme
	}
	key = strings.TrimLeft(key, " ")
	return key, CheckKey(key)
}

// CheckKey returns why the key can't be sent by callers; nil if it can.
func CheckKey(key string) *Problem {
	switch {
	case len(key) > MaxKeyBytes:
		return ErrTooLong
	case key == "" || strings.ContainsFunc(key, isNotVisible):
		return ErrMalformed
	default:
		return nil
	}
}

func isNotVisible(r rune) bool { return r <= ' ' || r > '~' }
