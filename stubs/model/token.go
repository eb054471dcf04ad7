package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the length of a prompt token.
const bytesPerToken = 4

// Token returns the text of the answer token at an index, a function of the arguments.
func Token(adapter, version, prompt string, index int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d", adapter, version, prompt, index))
	return fmt.Sprintf("%06x ", sum&0xffffff)
}

// Answer returns the text of the answer tokens with indexes from ≤ index < to.
func Answer(adapter, version, prompt string, from, to int) string {
	var text strings.Builder
	for index := from; index < to; index++ {
		text.WriteString(Token(adapter, version, prompt, index))
	}
	return text.String()
}

// Prompt returns the prompt of a request body: its "prompt" field, or else the contents of
// its "messages", one on each line.
func Prompt(body []byte) string {
	var request struct {
		Prompt   string `json:"prompt"`
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return ""
	}
	if request.Prompt != "" {
		return request.Prompt
	}
	lines := make([]string, len(request.Messages))
	for i, message := range request.Messages {
		lines[i] = message.Content
	}
	return strings.Join(lines, "\n")
}

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// Priority returns the priority of a request body; 0 is the most urgent.
func Priority(body []byte) int {
	var request struct {
		Priority int `json:"priority"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return 0
	}
	return request.Priority
}
