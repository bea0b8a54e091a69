package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/platform"
	"github.com/rotisserie/eris"
)

// serveWhere answers where a request would go now. The key comes in a header, as addresses are logged in more places.
func (entry *Entry) serveWhere(writer http.ResponseWriter, request *http.Request) {
	question, err := readQuestion(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	answer, err := entry.forwarder.Where(question)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	_, age := entry.relayer.Snapshot()
	answer.Entry, answer.Zone, answer.SnapshotAgeMS = entry.settings.Instance, entry.settings.Zone, age.Milliseconds()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer) // the caller has left
}

// readQuestion returns the question in the query of a request.
func readQuestion(request *http.Request) (cranberryward.WhereQuestion, error) {
	query := request.URL.Query()
	question := cranberryward.WhereQuestion{
		Host:        query.Get("host"),
		Path:        query.Get("path"),
		Method:      query.Get("method"),
		Key:         strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer "),
		PromptParts: platform.ParsePromptParts(query.Get("parts")),
	}
	if question.Host == "" || question.Path == "" {
		return question, eris.New("host and path are required")
	}
	if question.Method == "" {
		question.Method = http.MethodPost
	}
	for name, set := range map[string]func(number int64){
		"body_bytes":   func(number int64) { question.BodyBytes = number },
		"remaining_ms": func(number int64) { question.Remaining = time.Duration(number) * time.Millisecond },
	} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil || number < 0 {
			return question, eris.Errorf("%s: %q is no whole number from 0", name, text)
		}
		set(number)
	}
	return question, nil
}
