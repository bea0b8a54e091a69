package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/entry/server"
)

const callTimeout = 30 * time.Second

// Client calls the administration interface of one entry.
type Client struct {
	address    string
	token      string
	httpClient *http.Client
}

// New returns a client that calls the entry at the address and authenticates with the token.
func New(address, token string) *Client {
	return &Client{
		address:    address,
		token:      token,
		httpClient: &http.Client{Transport: dialer.NewTransport()},
	}
}

func (client *Client) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "encode request").WithCause(err)
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+client.address+path, bytes.NewReader(data))
	if err != nil {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "invalid entry address "+strconv.Quote(client.address)+", expected IP:port").WithCause(err)
	}
	request.Header.Set("Authorization", "Bearer "+client.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.httpClient.Do(request)
	if err != nil {
		return dialer.TransportFailure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if !dialer.IsSuccess(response) {
		return dialer.ReadFailure(response)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "decode the response of entry "+client.address).WithCause(err)
	}
	return nil
}

// Configuration returns the configuration that the entry holds.
func (client *Client) Configuration(ctx context.Context) (configuration cranberryward.Configuration, err error) {
	return configuration, client.call(ctx, http.MethodGet, "/admin/v1/configuration", nil, &configuration)
}

// History returns the most recent submissions that the entry applied one by one, without those that it took over in a snapshot.
func (client *Client) History(ctx context.Context) (entries []cranberryward.ConfigurationEntry, err error) {
	return entries, client.call(ctx, http.MethodGet, "/admin/v1/history", nil, &entries)
}

// Status returns the state of the deployment as known to the entry.
func (client *Client) Status(ctx context.Context) (status server.Status, err error) {
	return status, client.call(ctx, http.MethodGet, "/admin/v1/status", nil, &status)
}

// Zones returns the status of each zone, waiting at most the given time until the revision is in force.
func (client *Client) Zones(ctx context.Context, revision uint64, wait time.Duration) (zones []server.ZoneStatus, err error) {
	path := "/admin/v1/zones?revision=" + strconv.FormatUint(revision, 10) + "&wait=" + wait.String()
	return zones, client.call(ctx, http.MethodGet, path, nil, &zones)
}

// Explain returns the log lines that the entry keeps in memory about a request or a group.
func (client *Client) Explain(ctx context.Context, name string) (lines []string, err error) {
	return lines, client.call(ctx, http.MethodGet, "/admin/v1/explain/"+url.PathEscape(name), nil, &lines)
}

// Submit sends a submission; sending it again with the same id is idempotent.
func (client *Client) Submit(ctx context.Context, submission cranberryward.Submission) (status server.SubmissionStatus, err error) {
	return status, client.call(ctx, http.MethodPost, "/admin/v1/submissions", submission, &status)
}
