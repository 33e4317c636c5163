package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/pem"

	"github.com/pkg/errors"

	"github.com/goldcrestspan/goldcrestspan/settings"
)

const (
	keyPEMType    = "GOLDCRESTSPAN ED25519 SEED"
	keyNameHeader = "Signer"
)

// SigningKey is a signer's name and private key.
type SigningKey struct {
	Name    string
	Private ed25519.PrivateKey
}

// GenerateKey generates a key for the named signer.
func GenerateKey(name string) (SigningKey, error) {
	_, private, err := ed25519.GenerateKey(rand.Reader)
	return SigningKey{Name: name, Private: private}, errors.Wrap(err, "generate key")
}

// Encode encodes the private key in PEM, for a file that only its owner can read.
func (k SigningKey) Encode() []byte {
	return pem.EncodeToMemory(&pem.Block{
		Type:    keyPEMType,
		Headers: map[string]string{keyNameHeader: k.Name},
		Bytes:   k.Private.Seed(),
	})
}

// Signer returns the name and public key, as in a host's settings.
func (k SigningKey) Signer() settings.Signer {
	public := k.Private.Public().(ed25519.PublicKey)
	return settings.Signer{Name: k.Name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// DecodeKey decodes a key encoded by Encode.
func DecodeKey(raw []byte) (SigningKey, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != keyPEMType {
		return SigningKey{}, errors.New("not a signing key; make one with bundle keygen")
	}
	if len(block.Bytes) != ed25519.SeedSize || block.Headers[keyNameHeader] == "" {
		return SigningKey{}, errors.New("signing key is damaged; make a new one with bundle keygen")
	}
	return SigningKey{
		Name:    block.Headers[keyNameHeader],
		Private: ed25519.NewKeyFromSeed(block.Bytes),
	}, nil
}
