package bundle

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

type testKeys struct {
	ana, anaNew, marko SigningKey
}

func newTestKeys(t testing.TB) testKeys {
	is := is.New(t)
	var keys testKeys
	var err error
	keys.ana, err = GenerateKey("ana")
	is.NoErr(err)
	keys.anaNew, err = GenerateKey("ana")
	is.NoErr(err)
	keys.marko, err = GenerateKey("marko")
	is.NoErr(err)
	return keys
}

func signersOf(t testing.TB, keys ...SigningKey) Signers {
	var list []settings.Signer
	for _, key := range keys {
		list = append(list, key.Signer())
	}
	signers, err := NewSigners(list)
	is.New(t).NoErr(err)
	return signers
}

func newTestChange(t testing.TB) Change {
	change, err := Propose(Ref{}, Parts{}, validDocuments(), Proposal{Author: "ana", Reason: "first", Created: time.Unix(1e9, 0)})
	is.New(t).NoErr(err)
	return change
}

// Guards against accepting a bundle without valid signatures of its author and of
// another known signer.
func TestVerifyRequiresTwoSigners(t *testing.T) {
	keys := newTestKeys(t)
	signers := signersOf(t, keys.ana, keys.marko)
	unknownSigner, err := GenerateKey("eve")
	is.New(t).NoErr(err)
	impostor := SigningKey{Name: "marko", Private: unknownSigner.Private}
	for want, change := range map[string]Change{
		"not signed by its author":               newTestChange(t),
		"signed by ana alone":                    newTestChange(t).Sign(keys.ana).Sign(keys.ana),
		"not signed by its author ana":           newTestChange(t).Sign(keys.marko),
		"who is not among the signers":           newTestChange(t).Sign(keys.ana).Sign(unknownSigner),
		"signature of marko does not match":      newTestChange(t).Sign(keys.ana).Sign(impostor),
		"signature of ana does not match the ma": newTestChange(t).Sign(keys.anaNew).Sign(keys.marko),
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			_, err := signers.Verify(change.Signed)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		})
	}
	is := is.New(t)
	good := newTestChange(t).Sign(keys.ana).Sign(keys.marko)
	m, err := signers.Verify(good.Signed)
	is.NoErr(err)
	is.Equal(m.Generation, uint64(1))
	tampered := good.Signed
	tampered.Payload = bytes.Replace(good.Signed.Payload, []byte("first"), []byte("fir5t"), 1)
	_, err = signers.Verify(tampered)
	is.True(err != nil)
}

// Guards against a key rotation that invalidates the active bundle, and against
// one person signing twice with two keys.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	keys := newTestKeys(t)
	during := signersOf(t, keys.ana, keys.anaNew, keys.marko)
	after := signersOf(t, keys.anaNew, keys.marko)
	old := newTestChange(t).Sign(keys.ana).Sign(keys.marko)
	renewed := newTestChange(t).Sign(keys.anaNew).Sign(keys.marko)
	_, err := during.Verify(old.Signed)
	is.NoErr(err)
	_, err = during.Verify(renewed.Signed)
	is.NoErr(err)
	_, err = after.Verify(renewed.Signed)
	is.NoErr(err)
	_, err = after.Verify(old.Signed)
	is.True(err != nil) // the old key was removed
	twoKeys := newTestChange(t).Signed.Sign("ana", keys.ana.Private)
	twoKeys.Signatures = append(twoKeys.Signatures, newTestChange(t).Signed.Sign("ana", keys.anaNew.Private).Signatures...)
	_, err = during.Verify(twoKeys)
	is.True(err != nil)
	_, err = NewSigners([]settings.Signer{keys.ana.Signer(), {Name: "second", PublicKey: keys.ana.Signer().PublicKey}})
	is.True(err != nil) // one key under two names
}

// Guards against key files that can't be decoded again.
func TestKeyRoundTrip(t *testing.T) {
	is := is.New(t)
	keys := newTestKeys(t)
	read, err := DecodeKey(keys.ana.Encode())
	is.NoErr(err)
	is.Equal(read.Signer(), keys.ana.Signer())
	_, err = DecodeKey([]byte("nonsense"))
	is.True(err != nil)
}

// Guards against two encodings of one manifest, which hosts would take for two
// configurations of one generation.
func TestDecodeManifestRequiresCanonicalEncoding(t *testing.T) {
	is := is.New(t)
	payload := newTestChange(t).Signed.Payload
	_, err := DecodeManifest(payload)
	is.NoErr(err)
	for _, other := range [][]byte{
		append([]byte(" "), payload...),
		append(payload[:len(payload):len(payload)], '\n'),
		bytes.Replace(payload, []byte(`"generation":1`), []byte(`"generation":1.0`), 1),
		bytes.Replace(payload, []byte(`"reason":"first"`), []byte(`"reason":"\u0066irst"`), 1),
		bytes.Replace(payload, []byte(`"reason":`), []byte(`"more":1,"reason":`), 1),
		bytes.Replace(payload, []byte(`"generation":1`), []byte(`"generation":0`), 1),
	} {
		_, err := DecodeManifest(other)
		is.True(err != nil)
	}
}

// Guards against joining documents whose content doesn't match the manifest.
func TestJoinRefusesWrongContent(t *testing.T) {
	is := is.New(t)
	docs := validDocuments()
	parts, contents, err := Split(docs, Parts{})
	is.NoErr(err)
	joined, err := Join(parts, contents)
	is.NoErr(err)
	is.Equal(len(Diff(docs, joined)), 0)
	contents[parts.Base] = contents[parts.Routes[0]]
	_, err = Join(parts, contents)
	is.True(err != nil)
	delete(contents, parts.Base)
	_, err = Join(parts, contents)
	is.True(err != nil)
}

// Guards against unbounded memory use by oversized bundles and manifests.
func TestRefusesOversizedInput(t *testing.T) {
	is := is.New(t)
	docs := validDocuments()
	for i := range 60_000 {
		route := docs.Routes[0]
		route.Name = fmt.Sprintf("route-%d", i)
		docs.Routes = append(docs.Routes, route)
	}
	_, _, err := Split(docs, Parts{})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "over the limit"))
	_, err = DecodeManifest(make([]byte, MaxManifestBytes+1))
	is.True(err != nil)
}

// Guards against flapping part counts, with which each small change would send the
// whole bundle to every host.
func TestPartCountIsStable(t *testing.T) {
	is := is.New(t)
	docs := validDocuments()
	var previous Parts
	resplits := 0
	add := func(i int) {
		route := docs.Routes[0]
		route.Name = fmt.Sprintf("route-%d", i)
		docs.Routes = append(docs.Routes, route)
	}
	for i := range 400 {
		add(i)
		parts, _, err := Split(docs, previous)
		is.NoErr(err)
		if len(parts.Routes) != len(previous.Routes) && i > 0 {
			resplits++
			smaller := docs
			smaller.Routes = docs.Routes[:len(docs.Routes)-1]
			again, _, err := Split(smaller, parts)
			is.NoErr(err)
			is.Equal(len(again.Routes), len(parts.Routes)) // removing one route keeps the count
		}
		previous = parts
	}
	is.Equal(resplits, 1) // from 1 part to 8
}

// FuzzDecodeSigned guards against untrusted input that passes verification.
func FuzzDecodeSigned(f *testing.F) {
	keys := newTestKeys(f)
	good := newTestChange(f).Sign(keys.ana).Sign(keys.marko).Signed
	raw, err := good.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"payload":"e30=","signatures":null}`))
	signers := signersOf(f, keys.ana, keys.marko)
	f.Fuzz(func(t *testing.T, raw []byte) {
		signed, err := DecodeSigned(raw)
		if err != nil {
			return
		}
		if _, err := signers.Verify(signed); err == nil && signed.Hash() != good.Hash() {
			t.Fatal("an unsigned manifest passed verification")
		}
	})
}
