package completion

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPromptJoinsAllTextParts(t *testing.T) {
	for text, want := range map[string]string{
		`{"messages":[{"content":"a"},{"content":[{"type":"text","text":"b"},{"text":"c"}]}]}`: "a\nbc",
		`{"messages":[{"role":"user"},{"content":null}]}`:                                      "\n",
		`{}`: "",
	} {
		var b Body
		require.NoError(t, json.Unmarshal([]byte(text), &b))
		got, err := b.Chat()
		require.NoError(t, err)
		require.Equal(t, want, got, text)
	}
	b := Body{Prompt: json.RawMessage(`["a","b"]`)}
	got, err := b.Completion()
	require.NoError(t, err)
	require.Equal(t, "a\nb", got)
	b.Prompt = json.RawMessage(`7`)
	_, err = b.Completion()
	require.Error(t, err)
}

func TestOutputLimit(t *testing.T) {
	require.Equal(t, 16, (&Body{}).Limit(16))
	require.Equal(t, 3, (&Body{MaxTokens: 3}).Limit(16))
	require.Equal(t, 4, (&Body{MaxTokens: 3, MaxCompletionTokens: 4}).Limit(16))
}
