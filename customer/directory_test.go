package customer

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func account(name string, keys ...string) Account {
	a := Account{Customer: Customer{Name: name}}
	for _, key := range keys {
		a.Credentials = append(a.Credentials, CredentialOf(key))
	}
	return a
}

func mustDirectory(t testing.TB, previous *Directory, accounts ...Account) *Directory {
	t.Helper()
	d, err := NewDirectory(accounts, previous)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a request that is let in without one well-formed key, and against a key in the
// message that refuses it.
func TestEachProblemOfAKeyIsNamedWithoutTheKey(t *testing.T) {
	d := mustDirectory(t, nil, account("acme", "secret-1"))
	for _, tc := range []struct {
		name   string
		values []string
		want   error
	}{
		{"known", []string{"Bearer secret-1"}, nil},
		{"scheme in another case", []string{"bearer  secret-1"}, nil},
		{"none", nil, ErrNoKey},
		{"empty", []string{""}, ErrNoKey},
		{"no key after the scheme", []string{"Bearer"}, ErrMalformed},
		{"spaces after the scheme", []string{"Bearer   "}, ErrMalformed},
		{"two words", []string{"Bearer secret-1 secret-1"}, ErrMalformed},
		{"joined by a proxy", []string{"Bearer secret-1, Bearer secret-1"}, ErrMalformed},
		{"control character", []string{"Bearer secret-1\x00"}, ErrMalformed},
		{"not ASCII", []string{"Bearer secret-\u00fc"}, ErrMalformed},
		{"repeated", []string{"Bearer secret-1", "Bearer secret-1"}, ErrRepeatedKey},
		{"other scheme", []string{"Basic secret-1"}, ErrScheme},
		{"no scheme", []string{"secret-1"}, ErrScheme},
		{"over-long", []string{"Bearer secret-1" + strings.Repeat("x", MaxKeyBytes)}, ErrTooLong},
		{"unknown", []string{"Bearer secret-2"}, ErrUnknownKey},
		{"other case", []string{"Bearer SECRET-1"}, ErrUnknownKey},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			who, credential, err := d.Identify(tc.values)
			if tc.want == nil {
				is.NoErr(err)
				is.Equal(who.Name, "acme")
				is.Equal(credential, CredentialOf("secret-1"))
				return
			}
			is.True(errors.Is(err, tc.want))
			is.True(who == nil)
			is.True(!strings.Contains(strings.ToLower(err.Error()), "secret"))
		})
	}
}

// Guards against a configuration in which a key or a name does not tell whose a request is.
func TestAmbiguousCustomersAreRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		accounts []Account
		want     string
	}{
		"key of two customers": {[]Account{account("a", "k1", "k2"), account("b", "k3", "k2")}, `key 2 of customer "b" is also a key of customer "a"`},
		"two of one name":      {[]Account{account("a", "k1"), account("b", "k2"), account("a", "k3")}, `customers 1 and 3 are both named "a"`},
		"empty name":           {[]Account{account("a", "k1"), account("", "k2")}, "customer 2 of 2"},
		"line break in a name": {[]Account{account("a\nb", "k1")}, "control characters"},
		"negative limit":       {[]Account{{Customer: Customer{Name: "a", Limit: Limit{PerSecond: -1}}}}, "limit is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewDirectory(tc.accounts, nil)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
			is.True(strings.Contains(err.Error(), ":")) // how to fix it follows
		})
	}
	is := is.New(t)
	_, err := NewDirectory([]Account{account("a", "k1", "k1"), account("b")}, nil)
	is.NoErr(err)
}

// Guards against a host that takes a newer key for a removed one, and against one that forgets
// a removal with the next version.
func TestRemovedKeysAreToldFromUnseenOnes(t *testing.T) {
	is := is.New(t)
	first := mustDirectory(t, nil, account("a", "old", "kept"))
	second := mustDirectory(t, first, account("a", "kept"), account("b", "moved"))
	third := mustDirectory(t, second, account("a", "kept", "moved"))
	for _, d := range []*Directory{second, third} {
		is.True(d.WasRemoved(CredentialOf("old")))
		is.True(!d.WasRemoved(CredentialOf("kept")))
		is.True(!d.WasRemoved(CredentialOf("unseen")))
	}
	is.True(!third.WasRemoved(CredentialOf("moved"))) // to another customer
	is.True(!first.WasRemoved(CredentialOf("old")))
	again := mustDirectory(t, third, account("a", "old"))
	is.True(!again.WasRemoved(CredentialOf("old"))) // it was added again
	is.True(again.WasRemoved(CredentialOf("kept")))
	empty := mustDirectory(t, again)
	is.True(empty.WasRemoved(CredentialOf("old")))
}

// Guards against memory that grows with each key that was ever removed.
func TestRemovedKeysAreBounded(t *testing.T) {
	is := is.New(t)
	var d *Directory
	const versions, perVersion = 4, maxRemovedKeys / 2
	for version := range versions {
		keys := make([]string, perVersion)
		for i := range keys {
			keys[i] = fmt.Sprintf("%d-%d", version, i)
		}
		d = mustDirectory(t, d, account("a", keys...))
	}
	is.Equal(len(d.removed.order), maxRemovedKeys)
	is.Equal(len(d.removed.held), maxRemovedKeys)
	is.True(!d.WasRemoved(CredentialOf("0-0"))) // the earliest are forgotten
	is.True(d.WasRemoved(CredentialOf("2-0")))
}

const manyCustomers = 100_000

func manyAccounts() []Account {
	accounts := make([]Account, manyCustomers)
	for i := range accounts {
		accounts[i] = account(fmt.Sprintf("customer-%06d", i), fmt.Sprintf("key-of-customer-%06d", i))
	}
	return accounts
}

func BenchmarkIdentify(b *testing.B) {
	d := mustDirectory(b, nil, manyAccounts()...)
	for name, key := range map[string]string{"known": "key-of-customer-031415", "unknown": "key-of-nobody"} {
		b.Run(name, func(b *testing.B) {
			values := []string{"Bearer " + key}
			b.ReportAllocs()
			for b.Loop() {
				_, _, _ = d.Identify(values)
			}
		})
	}
}

// BenchmarkDirectory reports how long a version with 100,000 keys takes to build from the one
// before, and the memory that it keeps.
func BenchmarkDirectory(b *testing.B) {
	accounts := manyAccounts()
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	first := mustDirectory(b, nil, accounts...)
	kept := heap() - before
	for b.Loop() {
		mustDirectory(b, first, accounts[1:]...)
	}
	b.ReportMetric(float64(kept)/(1<<20), "MB")
	runtime.KeepAlive(first)
}
