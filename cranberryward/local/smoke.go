package local

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/cranberryward/administrator"
	"github.com/cranberryward/cranberryward/cranberryward/commander"
	"github.com/cranberryward/cranberryward/cranberryward/deployer"
	"github.com/cranberryward/cranberryward/deduplicator"
	"github.com/cranberryward/cranberryward/standin/serviceserver"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
)

const (
	smokeTokens          = 12
	smokePopularityPhase = 0.4
	smokePollInterval    = 50 * time.Millisecond
)

type smokeStep struct {
	name string
	run  func(ctx context.Context, deployment *deployer.Deployment) (string, error)
}

func (options *Options) runSmoke(ctx context.Context, deployment *deployer.Deployment) error {
	steps := []smokeStep{
		{
			name: "streamed model request",
			run:  streamRequest,
		},
		{
			name: "booking sent twice with one key",
			run:  sendBookingTwice,
		},
		{
			name: "expert map change",
			run:  checkMapChange,
		},
		{
			name: "backend server that leaves and one that asks for a time",
			run:  checkAnnouncements,
		},
		{
			name: "sheet with a quiet window",
			run:  submitSheet,
		},
		{
			name: "correction",
			run:  submitCorrection,
		},
	}
	failed := 0
	for _, step := range steps {
		start := time.Now()
		summary, err := step.run(ctx, deployment)
		if err != nil {
			failed++
			options.streams.Printf("FAILED  %s: %v", step.name, err)
			continue
		}
		options.streams.Printf("ok      %s: %s (%d ms)", step.name, summary, time.Since(start).Milliseconds())
	}
	if failed > 0 {
		return commander.NewExitError(commander.ExitFailed, fmt.Sprintf("%d of %d steps failed", failed, len(steps)))
	}
	return nil
}

func post(ctx context.Context, url, body, key string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set(cranberryward.HeaderIdempotencyKey, key)
	}
	return http.DefaultClient.Do(request)
}

func streamRequest(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	url := "http://" + deployment.EntrySettings(0).Listen + "/v1/chat/completions"
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hola"}]}`, deployer.Model, smokeTokens)
	response, err := post(ctx, url, body, "")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, events, done := "", 0, false
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", eris.Wrap(err, "decode event")
		}
		events++
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	id := response.Header.Get(cranberryward.HeaderRequestID)
	for zone := range deployment.GroupCount() {
		for rank := range deployment.Group(zone).RankCount() {
			for _, execution := range deployment.Group(zone).Rank(rank).Executions() {
				if execution.RequestID == id && execution.Text == text && done {
					return fmt.Sprintf("%d bytes in %d events, identical to the engine output", len(text), events), nil
				}
			}
		}
	}
	return "", eris.Errorf("response %q to request %s matches no engine output (terminated by [DONE]: %v)", text, id, done)
}

func sendBookingTwice(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	key := deduplicator.NewKey()
	var bodies []string
	for _, number := range []int{0, deployment.EntryCount() - 1} {
		url := "http://" + deployment.EntrySettings(number).Listen + "/services/" + deployer.ServiceName + "/bookings"
		response, err := post(ctx, url, `{"student":"ana","volunteer":"tom"}`, key)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return "", eris.Errorf("booking at entry %d: status %d: %s", number, response.StatusCode, body)
		}
		bodies = append(bodies, string(body))
	}
	executions := 0
	for zone := range deployment.ServiceCount() {
		for _, execution := range deployment.Service(zone).Executions() {
			if execution.Key == key {
				executions++
			}
		}
	}
	if executions != 1 || bodies[0] != bodies[1] {
		return "", eris.Errorf("booking executed %d times instead of once, responses %q", executions, bodies)
	}
	return "executed once, both requests got the first response", nil
}

func newAdminClient(deployment *deployer.Deployment, number int) *administrator.Client {
	return administrator.New(deployment.EntrySettings(number).AdminListen, deployer.OperatorToken)
}

func submitSheet(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	return submit(ctx, deployment, cranberryward.Submission{
		Kind: cranberryward.SubmitSheet,
		Sheet: &cranberryward.Sheet{
			QuietWindows: []cranberryward.QuietWindow{{
				Name:     "night",
				Zone:     "*",
				Start:    "22:00",
				End:      "06:00",
				TimeZone: "America/Guayaquil",
			}},
		},
	})
}

func submitCorrection(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	return submit(ctx, deployment, cranberryward.Submission{
		Kind: cranberryward.SubmitCorrection,
		Correction: &cranberryward.Correction{
			ID:    "smoke",
			Kind:  cranberryward.CorrectPriority,
			Name:  "tutors",
			Value: "9",
		},
	})
}

func submit(ctx context.Context, deployment *deployer.Deployment, submission cranberryward.Submission) (string, error) {
	submission.ID = ulid.Make().String()
	client := newAdminClient(deployment, 0)
	configuration, err := client.Configuration(ctx)
	if err != nil {
		return "", err
	}
	submission.BaseRevision = configuration.Revision
	status, err := client.Submit(ctx, submission)
	if err != nil {
		return "", err
	}
	if !status.InForce {
		return "", eris.Errorf("revision %d is not in force: %+v", status.Revision, status.Zones)
	}
	return fmt.Sprintf("revision %d in force in %d zones", status.Revision, len(status.Zones)), nil
}

// checkMapChange shifts the popularity of the experts, waits until a controller gives the group a new expert map, and checks
// that all ranks used the same map in every step.
func checkMapChange(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	group := deployment.Group(0)
	before := group.Skew()
	group.SetPhase(smokePopularityPhase)
	for {
		records := group.StepLog()
		versions := map[uint64]uint64{}
		for _, record := range records {
			if version, seen := versions[record.Step]; seen && version != record.MapVersion {
				return "", eris.Errorf("step %d ran on map versions %d and %d", record.Step, version, record.MapVersion)
			}
			versions[record.Step] = record.MapVersion
		}
		if len(records) > 0 && records[len(records)-1].MapVersion > 1 {
			last := records[len(records)-1]
			return fmt.Sprintf("version %d on all ranks from the same step, skew %.2f before and %.2f after, longest hold %v",
				last.MapVersion, before, group.Skew(), group.MaxHoldTime().Round(time.Millisecond)), nil
		}
		select {
		case <-ctx.Done():
			return "", eris.Wrap(ctx.Err(), "no new expert map is in use")
		case <-time.After(smokePollInterval):
		}
	}
}

// checkAnnouncements makes a plain backend server say that it leaves, and then ask for a time, and expects calls to go to others until it has started again and the time
// is over.
func checkAnnouncements(ctx context.Context, deployment *deployer.Deployment) (string, error) {
	const calls, away = 8, 500 * time.Millisecond
	service := deployment.Service(0)
	defer service.SetFaults(serviceserver.Faults{})
	before := len(service.Executions())
	service.SetFaults(serviceserver.Faults{Leaving: true})
	if err := awaitCall(ctx, deployment, false); err != nil {
		return "", eris.Wrap(err, "call others while one leaves")
	}
	if err := sendCalls(ctx, deployment, calls); err != nil {
		return "", eris.Wrap(err, "call others while one leaves")
	}
	if reached := len(service.Executions()) - before; reached > 1 {
		return "", eris.Errorf("%d calls reached the one that leaves, expected one at most", reached)
	}
	service.SetFaults(serviceserver.Faults{Down: true})
	time.Sleep(10 * smokePollInterval)
	service.SetFaults(serviceserver.Faults{})
	if err := awaitCall(ctx, deployment, true); err != nil {
		return "", eris.Wrap(err, "call the one that has started again")
	}
	before = len(service.Executions())
	service.SetFaults(serviceserver.Faults{AwayMS: away.Milliseconds()})
	if err := sendCalls(ctx, deployment, calls); err != nil {
		return "", eris.Wrap(err, "call others while one asks for a time")
	}
	if ran := len(service.Executions()) - before; ran > 0 {
		return "", eris.Errorf("%d calls ran at the one that asks for a time, expected none", ran)
	}
	return fmt.Sprintf("%d calls went to others", 2*calls), awaitCall(ctx, deployment, true)
}

// callService sends a call that may be repeated through the first entry.
func callService(ctx context.Context, deployment *deployer.Deployment) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+deployment.EntrySettings(0).Listen+"/services/"+deployer.ServiceName+"/seats", nil)
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}

func sendCalls(ctx context.Context, deployment *deployer.Deployment, calls int) error {
	for range calls {
		if err := callService(ctx, deployment); err != nil {
			return err
		}
	}
	return nil
}

// awaitCall repeats a call until it is served by the first zone's backend server, or by another one, of which the entry learns some seconds after its start.
func awaitCall(ctx context.Context, deployment *deployer.Deployment, own bool) error {
	for {
		before := len(deployment.Service(0).Executions())
		err := callService(ctx, deployment)
		if reached := len(deployment.Service(0).Executions()) > before; err == nil && reached == own || ctx.Err() != nil {
			return err
		}
		time.Sleep(smokePollInterval)
	}
}
