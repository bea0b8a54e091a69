package meter

import (
	"fmt"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Path is the HTTP path under which a process serves its metrics.
const Path = "/metrics"

// CountRequest counts an ended request by its status and, if it failed or missed an objective, the reason.
func CountRequest(status int, reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_requests_total{status=%q,reason=%q}", fmt.Sprint(status), reason)).Inc()
}

// CountConnectionRefused counts a caller's connection that was closed without a request, because there were too many.
func CountConnectionRefused(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_connections_refused_total{reason=%q}", reason)).Inc()
}

// CountSends counts the sends of one request; each one after the first is a retry.
func CountSends(count int) {
	metrics.GetOrCreateCounter("gateway_sends_total").Add(count)
	metrics.GetOrCreateCounter("gateway_repeats_total").Add(max(count-1, 0))
}

// CountHeld counts a request that waited for a group to open, and whether it did.
func CountHeld(opened bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_held_requests_total{opened=%q}", fmt.Sprint(opened))).Inc()
}

// CountSecondSend counts a request that was sent to a second backend server while the first answer was late, and whether the second one answered first.
func CountSecondSend(won bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_second_sends_total{won=%q}", fmt.Sprint(won))).Inc()
}

// CountMovedStream counts a stream that went on at another rank, as its own held up the group.
func CountMovedStream() {
	metrics.GetOrCreateCounter("gateway_moved_streams_total").Inc()
}

// CountSecondSendDenied counts a request whose answer was late and that was not sent to a second backend server, and why.
func CountSecondSendDenied(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_second_sends_denied_total{reason=%q}", reason)).Inc()
}

// RecordFirstEvent records the time from a request's arrival to the first event of its stream.
func RecordFirstEvent(took time.Duration) {
	metrics.GetOrCreateHistogram("gateway_first_event_seconds").Update(took.Seconds())
}

// RecordPause records the longest pause between two events of a stream.
func RecordPause(took time.Duration) {
	metrics.GetOrCreateHistogram("gateway_longest_pause_seconds").Update(took.Seconds())
}

// CountPartCrash counts a crash that is charged to a prompt part, and whether the part is quarantined.
func CountPartCrash(quarantined bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_part_crashes_total{quarantined=%q}", fmt.Sprint(quarantined))).Inc()
}

// CountRequestCrash counts a crash that is charged to a whole request, and whether the request is quarantined.
func CountRequestCrash(quarantined bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_request_crashes_total{quarantined=%q}", fmt.Sprint(quarantined))).Inc()
}

// CountStoreRead counts a read of the store and whether it failed.
func CountStoreRead(failed bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_store_reads_total{failed=%q}", fmt.Sprint(failed))).Inc()
}

// CountScreening counts a backend server against which a lasting reason begins or, with an empty reason, ends.
func CountScreening(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("gateway_server_screenings_total{reason=%q}", reason)).Inc()
}

// RecordMapChange counts an expert map that came into force, and records how long preparing and arming it took.
func RecordMapChange(prepare, arm time.Duration) {
	metrics.GetOrCreateCounter("gateway_map_changes_total").Inc()
	metrics.GetOrCreateHistogram("gateway_map_prepare_seconds").Update(prepare.Seconds())
	metrics.GetOrCreateHistogram("gateway_map_arm_seconds").Update(arm.Seconds())
}

// CountMapFailure counts a round of the controller in which an error kept a new map from coming into force.
func CountMapFailure() { metrics.GetOrCreateCounter("gateway_map_failures_total").Inc() }

// CountHoldEnded counts a hold that the agent beside the held rank ended, as its controller was not heard.
func CountHoldEnded() { metrics.GetOrCreateCounter("gateway_holds_ended_total").Inc() }

// SetPassTime sets the controller's estimate of the duration of one pass.
func SetPassTime(took time.Duration) {
	metrics.GetOrCreateGauge("gateway_pass_seconds", nil).Set(took.Seconds())
}

// RegisterGauge registers a gauge whose value is computed each time that the metrics are read.
func RegisterGauge(name string, value func() float64) {
	metrics.GetOrCreateGauge("gateway_"+name, value)
}

// Handler serves all metrics in the Prometheus text format.
func Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(writer, true)
	})
}

// Serve serves the metrics on an address, or returns at once if it is empty.
func Serve(address string) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(Path, Handler())
	server := &http.Server{
		Addr:              address,
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return server.ListenAndServe()
}

const (
	// readHeaderTimeout bounds the time to read the headers of a request for metrics, and maxHeaderBytes their size.
	readHeaderTimeout = 3 * time.Second
	maxHeaderBytes    = 16 << 10
)
