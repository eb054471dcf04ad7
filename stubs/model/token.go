package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is how prompts are counted.
const bytesPerToken = 4

// Token returns the text of answer token index, a function of what was asked.
func Token(adapter, version, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", adapter, version, prompt, index))
	return fmt.Sprintf("%06x ", sum&0xffffff)
}

// Answer returns the text of answer tokens from up to but not including to.
func Answer(adapter, version, prompt string, from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(Token(adapter, version, prompt, index))
	}
	return text.String()
}

// Prompt returns the prompt of a request body: its "prompt", or the contents
// of its "messages" on a line each.
func Prompt(body []byte) string {
	var asked struct {
		Prompt   string `json:"prompt"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		return ""
	}
	if asked.Prompt != "" {
		return asked.Prompt
	}
	lines := make([]string, len(asked.Messages))
	for i, message := range asked.Messages {
		lines[i] = message.Content
	}
	return strings.Join(lines, "\n")
}

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// Priority returns the priority of a request body; 0 is the most urgent.
func Priority(body []byte) int {
	var asked struct {
		Priority int `json:"priority"`
	}
	if err := json.Unmarshal(body, &asked); err != nil {
		return 0
	}
	return asked.Priority
}
