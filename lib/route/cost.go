package route

import "snipeshift.example/lib/decide"

// Reading is the time in milliseconds that one engine alone needs to read a
// prompt: linear in its tokens, and quadratic since each token attends to all
// earlier ones. k engines that read even parts need a k-th each.
func (e *Engine) Reading(prompt decide.Tokens) float64 {
	n := float64(prompt)
	return n/e.Read + e.Pairs*n*n/2/1e6
}

// Pass is the time in milliseconds of one pass that writes streams with this many
// tokens of context together, without what is read meanwhile.
func (e *Engine) Pass(streams int, context decide.Tokens) float64 {
	if streams == 0 {
		return e.Step
	}
	step := e.Step + e.Writer*float64(streams) + e.Context*float64(context)/1000
	return step * float64(max(e.Stride, 1))
}
