package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the fields of a settings file by their path, such as "listen_addresses.frontend".
type fields map[string]any

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills in the template of the deploy file, as far as it uses the notation of DEPLOY.md: a section is rendered once if
// its field has a value.
func fill(template string, f fields) string {
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		v, ok := f[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(v))
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := f[m[1]]
		if m[2] != "" {
			b, _ := json.Marshal(v) // strings, numbers and lists of them
			return string(b)
		}
		if list, isList := v.([]string); isList && len(list) > 0 {
			return list[0]
		}
		if !ok {
			return ""
		}
		return fmt.Sprint(v)
	})
}
