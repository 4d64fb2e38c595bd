package completion

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPromptIsAllText(t *testing.T) {
	for text, want := range map[string]string{
		`{"messages":[{"content":"a"},{"content":[{"type":"text","text":"b"},{"text":"c"}]}]}`: "a\nbc",
		`{"messages":[{"role":"user"},{"content":null}]}`:                                      "\n",
		`{}`: "",
	} {
		var b Request
		require.NoError(t, json.Unmarshal([]byte(text), &b))
		got, err := b.ChatPrompt()
		require.NoError(t, err)
		require.Equal(t, want, got, text)
	}
	b := Request{Prompt: json.RawMessage(`["a","b"]`)}
	got, err := b.CompletionPrompt()
	require.NoError(t, err)
	require.Equal(t, "a\nb", got)
	b.Prompt = json.RawMessage(`7`)
	_, err = b.CompletionPrompt()
	require.Error(t, err)
}

func TestLimit(t *testing.T) {
	require.Equal(t, 16, (&Request{}).Limit(16))
	require.Equal(t, 3, (&Request{MaxTokens: 3}).Limit(16))
	require.Equal(t, 4, (&Request{MaxTokens: 3, MaxCompletionTokens: 4}).Limit(16))
}
