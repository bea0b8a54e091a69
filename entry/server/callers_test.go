package server

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cranberryward/cranberryward"
	"github.com/cranberryward/cranberryward/distributor"
)

// TestRequestsThatOutlastAStopAreRefused guards against accepting requests late in a stop that would be cut off at its end; the refusal says that they have not run.
func TestRequestsThatOutlastAStopAreRefused(t *testing.T) {
	for name, test := range map[string]struct {
		after    time.Duration
		deadline string
		accepted bool
	}{
		"early":                  {time.Second, "1m", true},
		"late":                   {20 * time.Second, "1m", false},
		"late, and short enough": {20 * time.Second, "5s", true},
		"beside the answers":     {20 * time.Second, "9950ms", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &entry{localState: distributor.NewLocalState()}
				entry.stopper.Begin(time.Now().Add(30 * time.Second))
				time.Sleep(test.after)
				request := &http.Request{Header: http.Header{}}
				request.Header.Set(cranberryward.HeaderDeadline, test.deadline)
				_, err := entry.readMetadata(request)
				if (err == nil) != test.accepted {
					t.Errorf("error %v, expected the request to be accepted: %t", err, test.accepted)
				}
				if err != nil && (cranberryward.VerdictOf(err) != cranberryward.NotRun || cranberryward.FailureOf(err).Reason() != cranberryward.ReasonStopping) {
					t.Errorf("error %v, expected that the entry stops and the request has not run", err)
				}
			})
		})
	}
}
