package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/caller"
	"github.com/cranberryward/cranberryward/dialer"
	"github.com/cranberryward/cranberryward/messenger"
	"github.com/cranberryward/cranberryward/reserver"
)

const maxAgentResponseBytes = 32 << 20

// agentClient sends requests to agents over HTTP, because an RPC protocol of calls and replies could not stream responses.
type agentClient struct {
	sharedKey string
	client    *http.Client
}

func newAgentClient(sharedKey string) *agentClient {
	transport := dialer.NewTransport()
	transport.ResponseHeaderTimeout = 0
	return &agentClient{
		sharedKey: sharedKey,
		client:    &http.Client{Transport: transport},
	}
}

// agentResponse is an agent's response, with the load of the backend server if the response contained it.
type agentResponse struct {
	response *http.Response
	load     messenger.Load
	hasLoad  bool
}

func (agentClient *agentClient) send(ctx context.Context, method, address, path, requestID string, body any, header http.Header) (agentResponse, error) {
	var data []byte
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return agentResponse{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "encode request").WithCause(err)
		}
		data = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return agentResponse{}, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "create HTTP request").WithCause(err)
	}
	if header != nil {
		request.Header = header
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(cranberryward.HeaderRequestID, requestID)
	request.Header.Set(cranberryward.HeaderPeer, caller.Sign(agentClient.sharedKey, requestID))
	response, err := agentClient.client.Do(request)
	if err != nil {
		return agentResponse{}, dialer.TransportFailure(ctx, err)
	}
	load, hasLoad := messenger.DecodeLoad(response.Header.Get(cranberryward.HeaderLoad))
	return agentResponse{
		response: response,
		load:     load,
		hasLoad:  hasLoad,
	}, nil
}

// generate sends a model request and passes the frames of the response to receive.
func (agentClient *agentClient) generate(ctx context.Context, address string, generateRequest cranberryward.GenerateRequest, revision uint64,
	receive func(cranberryward.Frame) error) (agentResponse, error) {
	header := http.Header{}
	header.Set(cranberryward.HeaderRevision, strconv.FormatUint(revision, 10))
	agentResponse, err := agentClient.send(ctx, http.MethodPost, address, "/run/generate", generateRequest.RequestID, generateRequest, header)
	if err != nil {
		return agentResponse, err
	}
	return agentResponse, dialer.ReadFrames(ctx, agentResponse.response, receive)
}

// resume passes the frames of a response to receive, from a byte offset on.
func (agentClient *agentClient) resume(ctx context.Context, address, requestID string, offset int, receive func(cranberryward.Frame) error) error {
	path := "/run/streams/" + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	agentResponse, err := agentClient.send(ctx, http.MethodGet, address, path, requestID, nil, nil)
	if err != nil {
		return err
	}
	return dialer.ReadFrames(ctx, agentResponse.response, receive)
}

// cancel stops a model request whose response is no longer needed.
func (agentClient *agentClient) cancel(ctx context.Context, address, requestID string) error {
	agentResponse, err := agentClient.send(ctx, http.MethodDelete, address, "/run/streams/"+url.PathEscape(requestID), requestID, nil, nil)
	if err != nil {
		return err
	}
	return agentResponse.response.Body.Close()
}

// callService sends a call of a plain service and returns its complete response, which the reservation holds.
func (agentClient *agentClient) callService(ctx context.Context, reservation *reserver.Reservation, address string, serviceCall cranberryward.ServiceCall, priority int, remaining time.Duration, revision uint64) (agentResponse, cranberryward.ServiceResponse, error) {
	header := http.Header{}
	header.Set(cranberryward.HeaderRevision, strconv.FormatUint(revision, 10))
	header.Set(cranberryward.HeaderPriority, strconv.Itoa(priority))
	header.Set(cranberryward.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	var serviceResponse cranberryward.ServiceResponse
	agentResponse, err := agentClient.send(ctx, http.MethodPost, address, "/run/service", serviceCall.RequestID, serviceCall, header)
	if err != nil {
		return agentResponse, serviceResponse, err
	}
	defer func() { _ = agentResponse.response.Body.Close() }()
	if agentResponse.response.StatusCode != http.StatusOK {
		return agentResponse, serviceResponse, dialer.ReadFailure(agentResponse.response)
	}
	body, err := readAnswer(ctx, agentResponse.response, reservation)
	if err != nil {
		return agentResponse, serviceResponse, err
	}
	if err := json.Unmarshal(body, &serviceResponse); err != nil {
		return agentResponse, serviceResponse, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "the agent's response cannot be decoded").WithCause(err)
	}
	return agentResponse, serviceResponse, nil
}
