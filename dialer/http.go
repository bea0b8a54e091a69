package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/rotisserie/eris"
)

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	headerTimeout     = 30 * time.Second
	maxIdlePerHost    = 64
	maxHeadBytes      = 64 << 10
	maxErrorBytes     = 64 << 10
	maxResponseBytes  = 16 << 20
	contentTypeJSON   = "application/json"
	headerContentType = "Content-Type"
	bufferSizeBytes   = 4 << 10
)

// NewTransport returns an HTTP transport that reuses connections.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  headerTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		ReadBufferSize:         bufferSizeBytes,
		WriteBufferSize:        bufferSizeBytes,
	}
}

// NewSingleUseTransport returns an HTTP transport that uses each connection once, so that it never sends a request again on its own.
func NewSingleUseTransport() *http.Transport {
	transport := NewTransport()
	transport.DisableKeepAlives = true
	return transport
}

// TransportFailure returns the failure for an error of an HTTP round trip, with the verdict NotRun if no connection was made, and MayHaveRun otherwise.
func TransportFailure(ctx context.Context, err error) *cranberryward.Failure {
	verdict := cranberryward.MayHaveRun
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		verdict = cranberryward.NotRun
	}
	reason := transportReason(ctx, err)
	return cranberryward.NewFailure(verdict, reason, "HTTP request failed: "+string(reason)).WithCause(err)
}

// transportReason returns the reason for which a round trip failed.
func transportReason(ctx context.Context, err error) cranberryward.Reason {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return cranberryward.ReasonCanceled
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cranberryward.ReasonDeadline
	default:
		return cranberryward.ReasonUnreachable
	}
}

type jsonClient struct {
	baseURL string
	client  *http.Client
}

func newJSONClient(address string) jsonClient {
	return jsonClient{
		baseURL: "http://" + address,
		client:  &http.Client{Transport: NewTransport()},
	}
}

func (jsonClient jsonClient) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "encode request").WithCause(err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, jsonClient.baseURL+path, reader)
	if err != nil {
		return nil, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "create HTTP request").WithCause(err)
	}
	request.Header.Set(headerContentType, contentTypeJSON)
	response, err := jsonClient.client.Do(request)
	if err != nil {
		return nil, TransportFailure(ctx, err)
	}
	return response, nil
}

func (jsonClient jsonClient) call(ctx context.Context, method, path string, body, result any) error {
	response, err := jsonClient.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if !IsSuccess(response) {
		return ReadFailure(response)
	}
	if result == nil {
		_, err = io.Copy(io.Discard, response.Body)
	} else {
		err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result)
	}
	if err != nil {
		return TransportFailure(ctx, err)
	}
	return nil
}

// IsSuccess returns whether a response has one of the statuses 2xx; net/http also reads statuses below 100, such as 000.
func IsSuccess(response *http.Response) bool {
	return response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
}

// ReadFailure returns the failure in an error response.
func ReadFailure(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response with the unexpected status "+strconv.Quote(response.Status))
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "error response was truncated").WithCause(err)
	}
	var message cranberryward.ErrorMessage
	if json.Unmarshal(data, &message) != nil || message.Error.Code == "" {
		return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonInternal,
			"response with status "+http.StatusText(response.StatusCode)).WithCause(eris.New(string(data)))
	}
	return message.Failure()
}

// ReadBody reads a response's body, and fails if it is truncated or longer than the limit in bytes.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response was truncated").WithCause(err)
	}
	if int64(len(data)) > limit {
		return nil, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response is longer than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return data, nil
}
