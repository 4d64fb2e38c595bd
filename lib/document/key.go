package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const hashPrefix = "sha256:"

// digest is the SHA-256 of an API key.
type digest [sha256.Size]byte

// Hash returns the hash of an API key that the document contains: "sha256:" and 64 hex digits.
// Keys must be long and random, since the hash is neither slow nor salted.
func Hash(key string) string {
	d := digest(sha256.Sum256([]byte(key)))
	return hashPrefix + hex.EncodeToString(d[:])
}

// hashed reports whether text is a hash in the format of Hash.
func hashed(text string) bool {
	_, ok := parseHash(text)
	return ok
}

// parseHash decodes a hash in the format of Hash.
func parseHash(text string) (digest, bool) {
	var d digest
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(d)) || strings.ToLower(digits) != digits {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(digits))
	return d, err == nil
}
