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

type signing struct {
	ana, anaNew, marko SigningKey
}

func newSigning(t testing.TB) signing {
	is := is.New(t)
	var s signing
	var err error
	s.ana, err = GenerateKey("ana")
	is.NoErr(err)
	s.anaNew, err = GenerateKey("ana")
	is.NoErr(err)
	s.marko, err = GenerateKey("marko")
	is.NoErr(err)
	return s
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

func proposal(t testing.TB) Change {
	change, err := Propose(Ref{}, Parts{}, validDocuments(), Proposal{Author: "ana", Reason: "first", Created: time.Unix(1e9, 0)})
	is.New(t).NoErr(err)
	return change
}

// One person, or someone whose key no host knows, changes what every caller
// gets: a bundle needs its author's and another signer's sign-off, on exactly
// these bytes.
func TestSignOffs(t *testing.T) {
	s := newSigning(t)
	signers := signersOf(t, s.ana, s.marko)
	stranger, err := GenerateKey("eve")
	is.New(t).NoErr(err)
	impostor := SigningKey{Name: "marko", Private: stranger.Private}
	for want, change := range map[string]Change{
		"not signed by its author":             proposal(t),
		"signed by ana alone":                  proposal(t).Sign(s.ana).Sign(s.ana),
		"not signed by its author ana":         proposal(t).Sign(s.marko),
		"who is not among the signers":         proposal(t).Sign(s.ana).Sign(stranger),
		"signature of marko does not fit":      proposal(t).Sign(s.ana).Sign(impostor),
		"signature of ana does not fit the ma": proposal(t).Sign(s.anaNew).Sign(s.marko),
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			_, err := signers.Verify(change.Signed)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), want))
		})
	}
	is := is.New(t)
	good := proposal(t).Sign(s.ana).Sign(s.marko)
	m, err := signers.Verify(good.Signed)
	is.NoErr(err)
	is.Equal(m.Generation, uint64(1))
	tampered := good.Signed
	tampered.Payload = bytes.Replace(good.Signed.Payload, []byte("first"), []byte("fir5t"), 1)
	_, err = signers.Verify(tampered)
	is.True(err != nil)
}

// Ana's key is replaced. Hosts know both keys for a while, so that the bundle
// in force, signed with the old one, and the next, signed with the new one,
// are both valid. Two keys of one person are still one person.
func TestKeyRotation(t *testing.T) {
	is := is.New(t)
	s := newSigning(t)
	during := signersOf(t, s.ana, s.anaNew, s.marko)
	after := signersOf(t, s.anaNew, s.marko)
	old := proposal(t).Sign(s.ana).Sign(s.marko)
	renewed := proposal(t).Sign(s.anaNew).Sign(s.marko)
	_, err := during.Verify(old.Signed)
	is.NoErr(err)
	_, err = during.Verify(renewed.Signed)
	is.NoErr(err)
	_, err = after.Verify(renewed.Signed)
	is.NoErr(err)
	_, err = after.Verify(old.Signed)
	is.True(err != nil) // the old key is worth nothing any more
	alone := proposal(t).Signed.Sign("ana", s.ana.Private)
	alone.Signatures = append(alone.Signatures, proposal(t).Signed.Sign("ana", s.anaNew.Private).Signatures...)
	_, err = during.Verify(alone)
	is.True(err != nil)
	_, err = NewSigners([]settings.Signer{s.ana.Signer(), {Name: "second", PublicKey: s.ana.Signer().PublicKey}})
	is.True(err != nil) // one key under two names
}

func TestKeyFile(t *testing.T) {
	is := is.New(t)
	s := newSigning(t)
	read, err := DecodeKey(s.ana.Encode())
	is.NoErr(err)
	is.Equal(read.Signer(), s.ana.Signer())
	_, err = DecodeKey([]byte("nonsense"))
	is.True(err != nil)
}

// A second encoding of one manifest would have another hash, and hosts would
// see two configurations of one generation. Only the canonical one is read.
func TestManifestHasOneEncoding(t *testing.T) {
	is := is.New(t)
	payload := proposal(t).Signed.Payload
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

// A peer with damaged memory, or an old program, sends a document that is not
// what the manifest names. Contents are checked against their hashes.
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

func TestOverSizeIsRefused(t *testing.T) {
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

// Around a boundary of sizes one route more or less must not move every route
// to another part: each such change would send the whole bundle to each host.
func TestNumberOfPartsIsStable(t *testing.T) {
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
			back := docs
			back.Routes = docs.Routes[:len(docs.Routes)-1]
			again, _, err := Split(back, parts)
			is.NoErr(err)
			is.Equal(len(again.Routes), len(parts.Routes)) // no way back by one route
		}
		previous = parts
	}
	is.Equal(resplits, 1) // from 1 part to 8, at 33 KB
}

// FuzzDecodeSigned: the store and peers can send anything.
func FuzzDecodeSigned(f *testing.F) {
	s := newSigning(f)
	good := proposal(f).Sign(s.ana).Sign(s.marko).Signed
	raw, err := good.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"payload":"e30=","signatures":null}`))
	signers := signersOf(f, s.ana, s.marko)
	f.Fuzz(func(t *testing.T, raw []byte) {
		signed, err := DecodeSigned(raw)
		if err != nil {
			return
		}
		if _, err := signers.Verify(signed); err == nil && signed.Hash() != good.Hash() {
			t.Fatal("a manifest that nobody signed passed")
		}
	})
}
