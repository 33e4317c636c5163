package customer

import (
	"strings"

	"github.com/pkg/errors"
)

// Index finds the owner of a key by the key's hash. The zero value is empty. An Index is not
// changed while it is read.
type Index[T any] struct{ owners map[Credential]T }

// NewIndex returns an empty index for a number of keys.
func NewIndex[T any](keys int) Index[T] { return Index[T]{make(map[Credential]T, keys)} }

// Add adds a key's owner, or returns the owner that the key has already.
func (x Index[T]) Add(credential Credential, owner T) (existing T, added bool) {
	if existing, found := x.owners[credential]; found {
		return existing, false
	}
	x.owners[credential] = owner
	return owner, true
}

// Lookup returns the owner of a key.
func (x Index[T]) Lookup(credential Credential) (T, bool) {
	owner, found := x.owners[credential]
	return owner, found
}

// Directory maps the keys of one configuration version to their customers. It is immutable and
// remembers keys that earlier versions have held.
type Directory struct {
	index     Index[*Customer]
	customers []Customer
	removed   removedKeys
}

// NewDirectory returns the directory of a configuration version that follows the version of the
// previous directory, if any. Its error says which customer can't be served and why.
func NewDirectory(accounts []Account, previous *Directory) (*Directory, error) {
	keys := 0
	for i := range accounts {
		keys += len(accounts[i].Credentials)
	}
	d := &Directory{index: NewIndex[*Customer](keys), customers: make([]Customer, len(accounts))}
	positions := make(map[string]int, len(accounts))
	for i := range accounts {
		if err := accounts[i].validate(); err != nil {
			return nil, errors.Wrapf(err, "customer %d of %d, %q", i+1, len(accounts), accounts[i].Name)
		}
		if other, found := positions[accounts[i].Name]; found {
			return nil, errors.Errorf("customers %d and %d are both named %q: give each customer a name of its own", other+1, i+1, accounts[i].Name)
		}
		positions[accounts[i].Name] = i
		d.customers[i] = accounts[i].Customer
		if err := d.addKeys(&d.customers[i], accounts[i].Credentials); err != nil {
			return nil, err
		}
	}
	if previous != nil {
		d.removed = previous.removed.next(previous.index, d.index)
	}
	return d, nil
}

// addKeys adds a customer's keys. A key that is listed twice for the same customer is valid.
func (d *Directory) addKeys(owner *Customer, credentials []Credential) error {
	for i, credential := range credentials {
		other, _ := d.index.Add(credential, owner)
		if other != owner {
			return errors.Errorf("key %d of customer %q is also a key of customer %q: remove it from one of them", i+1, owner.Name, other.Name)
		}
	}
	return nil
}

func (a *Account) validate() error {
	switch {
	case a.Name == "":
		return errors.New("the name is empty: give the customer a name")
	case strings.TrimSpace(a.Name) != a.Name || strings.ContainsFunc(a.Name, isControl):
		return errors.New("the name begins or ends with a space or contains control characters: remove them")
	case a.Limit.PerSecond < 0 || a.Limit.Burst < 0:
		return errors.New("the limit is negative: leave it out or set 0 for no limit")
	default:
		return nil
	}
}

// isControl reports whether the character can't be part of a header's value.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// Customers returns all customers in the order of the configuration; they must not be changed.
func (d *Directory) Customers() []Customer { return d.customers }

// Identify returns the customer that the values of a request's authorization header identify,
// and its key's hash. The error is a *Problem; with ErrUnknownKey the hash is that of the key.
func (d *Directory) Identify(authorization []string) (*Customer, Credential, error) {
	key, problem := ParseAuthorization(authorization)
	if problem != nil {
		return nil, Credential{}, problem
	}
	credential := CredentialOf(key)
	owner, found := d.index.Lookup(credential)
	if !found {
		return nil, credential, ErrUnknownKey
	}
	return owner, credential, nil
}

// WasRemoved reports whether an earlier configuration version of this process held the key and
// this one does not. A key that was never held here may be newer than the configuration.
func (d *Directory) WasRemoved(credential Credential) bool { return d.removed.contains(credential) }
