// Package settings reads the settings of an emulator command: JSON with comments from a file, then
// single fields from the command line.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Load decodes the file, unless its path is empty, and then sets, each "field=value", into the struct
// that into points to. A value that is not valid JSON is used as a string. Unknown fields are errors.
// Fields that are not set keep their value.
func Load(file string, sets []string, into any) error {
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := Parse(text, into); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
	}
	for _, s := range sets {
		if err := set(s, into); err != nil {
			return err
		}
	}
	return nil
}

// Parse decodes JSON with comments into the struct that into points to. Unknown fields are errors.
func Parse(text []byte, into any) error {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return err
	}
	return decode(plain, into)
}

func set(pair string, into any) error {
	field, value, ok := strings.Cut(pair, "=")
	if !ok {
		return fmt.Errorf("setting %q does not have the form field=value", pair)
	}
	raw := json.RawMessage(value)
	if !json.Valid(raw) {
		raw, _ = json.Marshal(value)
	}
	text, err := json.Marshal(map[string]json.RawMessage{field: raw})
	if err != nil {
		return err
	}
	if err := decode(text, into); err != nil {
		return fmt.Errorf("setting %q: %w", pair, err)
	}
	return nil
}

func decode(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
