package route

import "snipeshift.example/lib/decide"

// PrefillTime returns the time in milliseconds that a single engine needs for the
// prefill of a prompt. It has a linear part, and a quadratic one since each token
// attends to all earlier tokens. Each of k engines with equal parts needs 1/k of it.
func (e *Engine) PrefillTime(prompt decide.Tokens) float64 {
	n := float64(prompt)
	return n/e.Read + e.Pairs*n*n/2/1e6
}

const (
	// typicalStreams is how many other streams an engine usually decodes at the same time.
	typicalStreams = 4
	// prefillSlowdown is the factor by which the prefills of other requests prolong decoding.
	prefillSlowdown = 1.3
)

// DecodeTime estimates the time in milliseconds that an engine takes to generate the given
// number of tokens after a prompt of the given length.
func (e *Engine) DecodeTime(tokens, prompt decide.Tokens) float64 {
	step := e.Step + e.Writer*typicalStreams + e.Context*float64(prompt)/1000
	return prefillSlowdown * step * float64(tokens)
}

// PassTime returns the time in milliseconds of one pass (batch iteration) that decodes the given
// number of streams, whose contexts have the given number of tokens in total. It excludes
// the time of any prefill in the same pass.
func (e *Engine) PassTime(streams int, context decide.Tokens) float64 {
	if streams == 0 {
		return e.Step
	}
	step := e.Step + e.Writer*float64(streams) + e.Context*float64(context)/1000
	return step * float64(max(e.Stride, 1))
}
