// Package blame decides which part of prompts crashes upstreams, from the crashes and the answers of the whole fleet.
package blame

import "strconv"

// Part identifies a part of prompts, which many requests may share.
type Part uint64

// String returns the part in hexadecimal digits.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
