package rebalancer

import (
	"context"

	"github.com/cranberryward/cranberryward"
)

// RankClient reads the state of one rank and sends it orders.
type RankClient interface {
	// Observe returns the state of the rank and the optional parts that the query asks for.
	Observe(ctx context.Context, query Query) (Observation, error)
	// Order sends the rank an order on behalf of the controller of the given group and term.
	Order(ctx context.Context, group string, term uint64, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error)
	// OrderDirectly sends the rank an order once, not through the process on its instance.
	OrderDirectly(ctx context.Context, order cranberryward.RankOrder) (cranberryward.OrderOutcome, error)
}

// Surveyor reaches many ranks at once.
type Surveyor interface {
	// Survey queries the members and returns a result for each.
	Survey(ctx context.Context, members []Member, query Query) Survey
	// OrderAll sends the members an order once, each on the condition of its number of orders, and returns an outcome for each.
	OrderAll(ctx context.Context, members []Member, orders []uint64, group string, term uint64, order cranberryward.RankOrder) []OrderResult
}
