package dialer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cranberryward/cranberryward"
)

// maxFrameBytes bounds a frame of a streamed response, of which a resumed one may hold the whole text so far.
const maxFrameBytes = 1 << 20

// Engine is a client of one rank of a model engine group.
type Engine struct {
	jsonClient jsonClient
}

var _ cranberryward.Engine = (*Engine)(nil)

// NewEngine returns a client for the rank at the address.
func NewEngine(address string) *Engine {
	return &Engine{
		jsonClient: newJSONClient(address),
	}
}

// Generate starts a model request and passes the frames of the response to receive, until the end mark.
func (engine *Engine) Generate(ctx context.Context, request cranberryward.GenerateRequest, receive func(cranberryward.Frame) error) error {
	response, err := engine.jsonClient.send(ctx, http.MethodPost, "/v1/generate", request)
	if err != nil {
		return err
	}
	return ReadFrames(ctx, response, receive)
}

// Resume passes the frames of a running or finished response to receive, from a byte offset on.
func (engine *Engine) Resume(ctx context.Context, requestID string, offset int, receive func(cranberryward.Frame) error) error {
	path := "/v1/streams/" + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	response, err := engine.jsonClient.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return ReadFrames(ctx, response, receive)
}

// ReadFrames passes the frames of a streamed response to receive until the end mark, and fails if the stream ends before it.
func ReadFrames(ctx context.Context, response *http.Response, receive func(cranberryward.Frame) error) error {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ReadFailure(response)
	}
	body := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(body)
	for {
		body.N = maxFrameBytes
		var frame cranberryward.Frame
		if err := decoder.Decode(&frame); err != nil {
			if body.N <= 0 {
				return cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "a frame is longer than "+strconv.Itoa(maxFrameBytes)+" bytes")
			}
			return TransportFailure(ctx, err)
		}
		if frame.Error != nil {
			return cranberryward.ErrorMessage{Error: *frame.Error}.Failure()
		}
		if err := receive(frame); err != nil {
			return err
		}
		if frame.End != nil {
			return nil
		}
	}
}

// Cancel stops a model request that is queued or running.
func (engine *Engine) Cancel(ctx context.Context, requestID string) error {
	return engine.jsonClient.call(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(requestID), nil, nil)
}

// Load returns the rank's latest load report, which lags behind its current load.
func (engine *Engine) Load(ctx context.Context) (cranberryward.EngineLoad, error) {
	var load cranberryward.EngineLoad
	err := engine.jsonClient.call(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents returns the cache events after a sequence number.
func (engine *Engine) CacheEvents(ctx context.Context, after uint64) (cranberryward.CacheEvents, error) {
	var events cranberryward.CacheEvents
	err := engine.jsonClient.call(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// RankState returns the current state of the rank.
func (engine *Engine) RankState(ctx context.Context) (cranberryward.RankState, error) {
	var state cranberryward.RankState
	err := engine.jsonClient.call(ctx, http.MethodGet, "/v1/rank", nil, &state)
	return state, err
}

// Map returns the expert map that the rank holds under a version.
func (engine *Engine) Map(ctx context.Context, version uint64) (cranberryward.ExpertMap, error) {
	var expertMap cranberryward.ExpertMap
	err := engine.jsonClient.call(ctx, http.MethodGet, "/v1/maps/"+strconv.FormatUint(version, 10), nil, &expertMap)
	return expertMap, err
}

// Order sends an order to the rank.
func (engine *Engine) Order(ctx context.Context, order cranberryward.Order) error {
	return engine.jsonClient.call(ctx, http.MethodPost, "/v1/orders", order, nil)
}

// ExportCache returns the KV cache of a model request.
func (engine *Engine) ExportCache(ctx context.Context, requestID string) ([]byte, error) {
	response, err := engine.jsonClient.send(ctx, http.MethodGet, "/v1/cache/"+url.PathEscape(requestID), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, ReadFailure(response)
	}
	return ReadBody(response.Body, maxResponseBytes)
}

// ImportCache installs an exported KV cache.
func (engine *Engine) ImportCache(ctx context.Context, cache []byte) error {
	return engine.jsonClient.call(ctx, http.MethodPost, "/v1/cache", json.RawMessage(cache), nil)
}
