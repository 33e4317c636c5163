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
	is := is.New(t)
	d := mustDirectory(t, nil, account("acme", "secret-1"))
	for want, headers := range map[error][][]string{
		ErrNoKey:       {nil, {""}},
		ErrMalformed:   {{"Bearer"}, {"Bearer  "}, {"Bearer secret-1 x"}, {"Bearer secret-1, Bearer secret-1"}, {"Bearer secret-1\x00"}, {"Bearer secret-\u00fc"}},
		ErrRepeatedKey: {{"Bearer secret-1", "Bearer secret-1"}},
		ErrScheme:      {{"Basic secret-1"}, {"secret-1"}},
		ErrTooLong:     {{"Bearer secret-1" + strings.Repeat("x", MaxKeyBytes)}},
		ErrUnknownKey:  {{"Bearer secret-2"}, {"Bearer SECRET-1"}},
	} {
		for _, values := range headers {
			who, _, err := d.Identify(values)
			is.True(errors.Is(err, want)) // of values
			is.True(who == nil && !strings.Contains(strings.ToLower(err.Error()), "secret"))
		}
	}
	for _, value := range []string{"Bearer secret-1", "bearer  secret-1"} {
		who, credential, err := d.Identify([]string{value})
		is.NoErr(err)
		is.True(who.Name == "acme" && credential == CredentialOf("secret-1"))
	}
}

// Guards against a configuration in which a key or a name does not tell whose a request is.
func TestAmbiguousCustomersAreRefused(t *testing.T) {
	is := is.New(t)
	for want, accounts := range map[string][]Account{
		`key 2 of customer "b" is also a key of customer "a": `: {account("a", "k1", "k2"), account("b", "k3", "k2")},
		`customers 1 and 2 are both named "a": `:                {account("a", "k1"), account("a", "k3")},
		"customer 2 of 2, \"\": the name is empty: ":            {account("a", "k1"), account("", "k2")},
		"control characters: ":                                  {account("a\nb", "k1")},
	} {
		_, err := NewDirectory(accounts, nil)
		is.True(err != nil && strings.Contains(err.Error(), want)) // how to fix it follows
	}
	mustDirectory(t, nil, account("a", "k1", "k1"), account("b"))
}

// Guards against a host that takes a newer key for a removed one, or forgets a removal with the
// next version, and against memory that grows with each key that was ever removed.
func TestRemovedKeysAreToldFromUnseenOnes(t *testing.T) {
	is := is.New(t)
	removed := func(d *Directory, key string) bool { return d.WasRemoved(CredentialOf(key)) }
	first := mustDirectory(t, nil, account("a", "old", "kept"))
	second := mustDirectory(t, first, account("a", "kept"), account("b", "moved"))
	third := mustDirectory(t, second, account("a", "kept", "moved"))
	is.True(!removed(first, "old") && removed(second, "old") && removed(third, "old"))
	is.True(!removed(third, "kept") && !removed(third, "unseen") && !removed(third, "moved"))
	again := mustDirectory(t, third, account("a", "old"))
	is.True(!removed(again, "old") && removed(again, "kept"))
	d := mustDirectory(t, again) // without customers
	is.True(removed(d, "old"))
	for version := range 4 {
		keys := make([]string, maxRemovedKeys/2)
		for i := range keys {
			keys[i] = fmt.Sprintf("%d-%d", version, i)
		}
		d = mustDirectory(t, d, account("a", keys...))
	}
	is.Equal(len(d.removed.held), maxRemovedKeys)
	is.True(removed(d, "2-0") && !removed(d, "0-0")) // the earliest are forgotten
}

func manyAccounts() []Account {
	accounts := make([]Account, 100_000)
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
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / (1 << 20)
	}
	before := heap()
	first := mustDirectory(b, nil, accounts...)
	kept := heap() - before
	for b.Loop() {
		mustDirectory(b, first, accounts[1:]...)
	}
	b.ReportMetric(kept, "MB")
}
