package dialer

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cranberryward/cranberryward"
)

// InstanceList is a client of the platform's instance list.
type InstanceList struct {
	jsonClient jsonClient
}

var _ cranberryward.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client for the list at the address.
func NewInstanceList(address string) *InstanceList {
	return &InstanceList{
		jsonClient: newJSONClient(address),
	}
}

// List returns the instances of a zone, or of all zones if the name is empty; if its version is still the known one, it returns only the version.
func (instanceList *InstanceList) List(ctx context.Context, zone string, known uint64) (cranberryward.Membership, error) {
	var membership cranberryward.Membership
	err := instanceList.jsonClient.call(ctx, http.MethodGet, "/v1/instances?zone="+url.QueryEscape(zone)+"&known="+strconv.FormatUint(known, 10), nil, &membership)
	return membership, err
}

// ListService returns the instances of a plain service in all zones.
func (instanceList *InstanceList) ListService(ctx context.Context, service string) (cranberryward.Membership, error) {
	var membership cranberryward.Membership
	err := instanceList.jsonClient.call(ctx, http.MethodGet, "/v1/instances?service="+url.QueryEscape(service), nil, &membership)
	return membership, err
}

// Register adds or replaces an instance's row.
func (instanceList *InstanceList) Register(ctx context.Context, instance cranberryward.Instance) error {
	return instanceList.jsonClient.call(ctx, http.MethodPut, "/v1/instances/"+url.PathEscape(instance.ID), instance, nil)
}

// Deregister removes the row of a stopped instance.
func (instanceList *InstanceList) Deregister(ctx context.Context, id string) error {
	return instanceList.jsonClient.call(ctx, http.MethodDelete, "/v1/instances/"+url.PathEscape(id), nil, nil)
}
