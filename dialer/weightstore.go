package dialer

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cranberryward/cranberryward"
)

// WeightStore is a client of the platform's weight store.
type WeightStore struct {
	jsonClient jsonClient
}

var _ cranberryward.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client for the store at the address.
func NewWeightStore(address string) *WeightStore {
	return &WeightStore{
		jsonClient: newJSONClient(address),
	}
}

// Fetch reads the weights of experts and returns their size in bytes.
func (weightStore *WeightStore) Fetch(ctx context.Context, model string, layer int, experts []int) (int64, error) {
	names := make([]string, len(experts))
	for i, expert := range experts {
		names[i] = strconv.Itoa(expert)
	}
	path := "/v1/weights/" + url.PathEscape(model) + "/" + strconv.Itoa(layer) + "?experts=" + strings.Join(names, ",")
	response, err := weightStore.jsonClient.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, ReadFailure(response)
	}
	size, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return size, TransportFailure(ctx, err)
	}
	return size, nil
}
