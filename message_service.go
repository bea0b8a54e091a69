package cranberryward

// ServiceCall is a call to a plain service, forwarded with its method and body.
type ServiceCall struct {
	RequestID  string              `json:"request_id"`
	Workspace  string              `json:"workspace"`
	Service    string              `json:"service"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Query      string              `json:"query,omitempty"`
	Header     map[string][]string `json:"header,omitempty"`
	Body       []byte              `json:"body,omitempty"`
	Key        string              `json:"key,omitempty"`
	Idempotent bool                `json:"idempotent"`
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}
