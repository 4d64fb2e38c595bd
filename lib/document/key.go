package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const keyHashPrefix = "sha256:"

// keyDigest is the SHA-256 of an API key.
type keyDigest [sha256.Size]byte

// HashKey returns the hash of an API key that the document contains: "sha256:" and 64 hex digits.
// Keys must be long and random, since the hash is neither slow nor salted.
func HashKey(key string) string {
	d := keyDigest(sha256.Sum256([]byte(key)))
	return keyHashPrefix + hex.EncodeToString(d[:])
}

// isKeyHash reports whether text is a hash in the format of HashKey.
func isKeyHash(text string) bool {
	_, ok := parseKeyHash(text)
	return ok
}

// parseKeyHash decodes a hash in the format of HashKey.
func parseKeyHash(text string) (keyDigest, bool) {
	var d keyDigest
	digits, ok := strings.CutPrefix(text, keyHashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(d)) || strings.ToLower(digits) != digits {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(digits))
	return d, err == nil
}
