package steward

import (
	"context"

	"github.com/cranberryward/cranberryward"
)

// Hands reach one rank.
type Hands interface {
	// Observe returns the state of the rank.
	Observe(ctx context.Context, question Question) (Observation, error)
	// Order gives the rank an order under the term of its controller.
	Order(ctx context.Context, term uint64, order cranberryward.RankOrder) (cranberryward.OrderAnswer, error)
}
