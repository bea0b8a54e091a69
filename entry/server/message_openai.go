package server

import "encoding/json"

// ChatRequest is the body of a chat completion request; its other fields are ignored.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *StreamOptions `json:"stream_options"`
}

// ChatMessage is one message of a chat, whose content is a string or a list of parts.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ContentPart is one part of a message's content.
type ContentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// CompletionRequest is the body of a text completion request; its other fields are ignored.
type CompletionRequest struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	MaxTokens     int             `json:"max_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions *StreamOptions  `json:"stream_options"`
}

// StreamOptions say whether a stream ends with the token usage.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// CompletionResponse is a complete response or one chunk of a streamed one.
type CompletionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice in a response.
type Choice struct {
	Index        int        `json:"index"`
	Message      *ChatDelta `json:"message,omitempty"`
	Delta        *ChatDelta `json:"delta,omitempty"`
	Text         *string    `json:"text,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// ChatDelta is the generated message of a chat response, or a part of it in a chunk.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of a prompt and of the generated text.
type Usage struct {
	PromptTokens     int                  `json:"prompt_tokens"`
	CompletionTokens int                  `json:"completion_tokens"`
	TotalTokens      int                  `json:"total_tokens"`
	PromptDetails    *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails says how many tokens of the prompt were in the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}
