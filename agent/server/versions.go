package server

import (
	"context"
	"slices"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/switcher"
	"github.com/cranberryward/cranberryward/waiter"
)

const (
	versionInterval = 500 * time.Millisecond
	versionTimeout  = 2 * time.Second
)

// watchVersions loads, outside quiet windows, the model versions that the sheet allows and the engine has not loaded.
func (agent *agent) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		agent.loadMissingVersions(ctx)
		waiter.Sleep(ctx, versionInterval)
	}
}

func (agent *agent) loadMissingVersions(ctx context.Context) {
	allowed, restricted := agent.localState.EffectiveConfiguration().Versions(agent.instance.Group)
	if !restricted || agent.guard.MayDisrupt() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	state, err := agent.engine.RankState(ctx)
	if err != nil {
		return
	}
	for _, version := range allowed {
		if slices.Contains(state.Versions, version) {
			continue
		}
		_ = agent.guard.Order(ctx, switcher.OrderRequest{
			Order: cranberryward.Order{
				Kind:    cranberryward.OrderLoadModel,
				Group:   agent.instance.Group,
				Fencing: state.Fencing,
				Model:   version,
			},
		})
	}
}

// chooseVersion sets the model version that a request runs on to the first one that the sheet allows, the engine has loaded and the request accepts.
func (agent *agent) chooseVersion(generateRequest *cranberryward.GenerateRequest) error {
	allowed, restricted := agent.localState.EffectiveConfiguration().AllowedVersions(agent.instance.Group, agent.health.loadedVersions())
	if !restricted {
		return nil
	}
	for _, version := range allowed {
		if generateRequest.Version == "" || generateRequest.Version == version {
			generateRequest.Version = version
			return nil
		}
	}
	return cranberryward.NewFailure(cranberryward.NotRun, cranberryward.ReasonVersionNotAllowed,
		"the engine has loaded no model version that the request may run on").WithRetryAfter(versionInterval)
}
