package dialer

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/connector"
)

// Service is a client of one backend server of a plain service.
type Service struct {
	address      string
	healthClient *http.Client
	connector    connector.Connector
}

var _ cranberryward.Service = (*Service)(nil)

// NewService returns a client for the backend server at the address.
func NewService(address string) *Service {
	return &Service{
		address:      address,
		healthClient: &http.Client{Transport: NewSingleUseTransport()},
	}
}

// Alive returns nil if the backend server responds to its health check, with any status.
func (service *Service) Alive(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+service.address+"/healthz", nil)
	if err != nil {
		return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "create HTTP request").WithCause(err)
	}
	response, err := service.healthClient.Do(request)
	if err != nil {
		return TransportFailure(ctx, err)
	}
	return response.Body.Close()
}

// Call sends the call at most once and returns the complete response.
func (service *Service) Call(ctx context.Context, call cranberryward.ServiceCall) (cranberryward.ServiceResponse, error) {
	var none cranberryward.ServiceResponse
	head, err := service.requestHead(call)
	if err != nil {
		return none, cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonInvalid, "create HTTP request").WithCause(err)
	}
	service.connector.CloseExpired()
	response, err := service.connector.Send(ctx, connector.Request{
		Address: service.address,
		// An idle connection may be closing just as a request is sent on it, which must not leave open whether one that runs at most once has run.
		NewConnection: !call.Idempotent,
		Method:        call.Method,
		Head:          head,
		Body:          call.Body,
		Matches: func(response *http.Response) bool {
			id := response.Header.Get(cranberryward.HeaderRequestID)
			return id == "" || id == call.RequestID
		},
	})
	if err != nil {
		return none, sendFailure(ctx, err)
	}
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		response.Abort()
		return none, cranberryward.NewFailure(cranberryward.MayHaveRun, cranberryward.ReasonResponseBroken, "response is not whole").WithCause(err)
	}
	response.Finish()
	return cranberryward.ServiceResponse{
		Status: response.HTTP().StatusCode,
		Header: response.HTTP().Header,
		Body:   body,
	}, nil
}

// requestHead returns the request line and headers of a call.
func (service *Service) requestHead(call cranberryward.ServiceCall) ([]byte, error) {
	target := "http://" + service.address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequest(call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(cranberryward.HeaderRequestID, call.RequestID)
	request.Header.Set(cranberryward.HeaderWorkspace, call.Workspace)
	if call.Key != "" {
		request.Header.Set(cranberryward.HeaderIdempotencyKey, call.Key)
	}
	var buffer bytes.Buffer
	if err := request.Write(&buffer); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), call.Body), nil
}

// sendFailure returns the failure for a call that got no response, with the verdict of the connector.
func sendFailure(ctx context.Context, err error) error {
	return cranberryward.NewFailure(cranberryward.VerdictOf(err), transportReason(ctx, err), "call failed").WithCause(err)
}
