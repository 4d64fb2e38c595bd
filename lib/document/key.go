package document

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const hashPrefix = "sha256:"

// digest is the SHA-256 of an API key.
type digest [sha256.Size]byte

// HashKey returns an API key as the document keeps it: "sha256:" and 64 hex digits.
// Keys must be long and random, since the hash is neither slow nor salted.
func HashKey(key string) string {
	d := digest(sha256.Sum256([]byte(key)))
	return hashPrefix + hex.EncodeToString(d[:])
}

func hashed(text string) bool {
	_, ok := parseHash(text)
	return ok
}

// parseHash reads what Hash returned.
func parseHash(text string) (digest, bool) {
	var d digest
	digits, ok := strings.CutPrefix(text, hashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(d)) || strings.ToLower(digits) != digits {
		return d, false
	}
	_, err := hex.Decode(d[:], []byte(digits))
	return d, err == nil
}
