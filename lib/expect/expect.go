// Package expect tells what answer the stand-in engine gives to a prompt, so
// that a caller or a test can check that an answer is whole and its own.
//
// The answer to a prompt is a row of tokens of four bytes each. Token i is
// three letters a to z and a space, cut from splitmix64(xxhash64(prompt) + i).
// The prompt is the text of all messages of a chat, joined by newlines, or the
// prompt of a completion. The number of tokens is the request's limit
// (max_completion_tokens or max_tokens), or the engine's default.
package expect

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of every token, and the number of bytes of a prompt that count as one.
const TokenBytes = 4

// DefaultTokens is the number of output tokens where a request names no limit.
const DefaultTokens = 16

// Seed determines the whole answer to one prompt.
type Seed uint64

// SeedOf returns the seed of a prompt.
func SeedOf(prompt string) Seed { return Seed(xxhash.Sum64String(prompt)) }

// Append adds token i to b.
func (s Seed) Append(b []byte, i int) []byte {
	x := mix(uint64(s) + uint64(i))
	for range TokenBytes - 1 {
		b = append(b, 'a'+byte(x%26))
		x /= 26
	}
	return append(b, ' ')
}

// Token returns token i.
func (s Seed) Token(i int) string { return string(s.Append(nil, i)) }

// Answer returns the first n tokens.
func (s Seed) Answer(n int) string {
	b := make([]byte, 0, n*TokenBytes)
	for i := range n {
		b = s.Append(b, i)
	}
	return string(b)
}

// Check compares an answer with the n tokens that the prompt calls for. Its
// error tells an answer that stopped early from one that is not the prompt's own.
func Check(prompt, answer string, n int) error {
	want := SeedOf(prompt).Answer(n)
	if answer == want {
		return nil
	}
	if strings.HasPrefix(want, answer) {
		return fmt.Errorf("answer stops after %d of %d bytes", len(answer), len(want))
	}
	i := 0
	for i < len(want) && i < len(answer) && want[i] == answer[i] {
		i++
	}
	return fmt.Errorf("answer differs from its prompt's at byte %d: token %q in place of %q", i, tokenAt(answer, i), tokenAt(want, i))
}

// Tokens counts the tokens of a text: one for every four bytes, rounded up.
func Tokens(text string) int { return (len(text) + TokenBytes - 1) / TokenBytes }

func tokenAt(s string, i int) string {
	from := i / TokenBytes * TokenBytes
	if from >= len(s) {
		return ""
	}
	return s[from:min(from+TokenBytes, len(s))]
}

// mix is the output function of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
