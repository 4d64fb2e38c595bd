package route

import "snipeshift.example/lib/decide"

// PrefillTime is the time in milliseconds that one engine alone needs to read a
// prompt: linear in its tokens, and quadratic since each token attends to all
// earlier ones. k engines that read even parts need a k-th each.
func (e *Engine) PrefillTime(prompt decide.Tokens) float64 {
	n := float64(prompt)
	return n/e.Read + e.Pairs*n*n/2/1e6
}

const (
	// usualWriters is how many streams an engine writes beside one more, most of the time.
	usualWriters = 4
	// stalls is by how much the reads of other requests lengthen the writing of an answer.
	stalls = 1.3
)

// DecodeTime is the time in milliseconds that it probably takes to write an answer of this
// many tokens after a prompt of this length.
func (e *Engine) DecodeTime(tokens, prompt decide.Tokens) float64 {
	step := e.Step + e.Writer*usualWriters + e.Context*float64(prompt)/1000
	return stalls * step * float64(tokens)
}

// PassTime is the time in milliseconds of one pass that writes streams with this many
// tokens of context together, without what is read meanwhile.
func (e *Engine) PassTime(streams int, context decide.Tokens) float64 {
	if streams == 0 {
		return e.Step
	}
	step := e.Step + e.Writer*float64(streams) + e.Context*float64(context)/1000
	return step * float64(max(e.Stride, 1))
}
