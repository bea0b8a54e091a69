package server

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cranberryward/cranberryward/reserver"
)

const (
	minHistogramMicros         = 1
	maxHistogramMicros         = 3_600_000_000
	histogramSignificantDigits = 2
)

// metrics holds the entry's counters and latency histograms, published in the format of expvar.
type metrics struct {
	values            expvar.Map
	mutex             sync.Mutex
	firstTokenLatency *hdrhistogram.Histogram
	requestDuration   *hdrhistogram.Histogram
}

func newMetrics(memory *reserver.Reserver) *metrics {
	metrics := &metrics{
		firstTokenLatency: hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramSignificantDigits),
		requestDuration:   hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramSignificantDigits),
	}
	metrics.values.Set("first_token_micros", expvar.Func(func() any { return metrics.quantiles(metrics.firstTokenLatency) }))
	metrics.values.Set("request_micros", expvar.Func(func() any { return metrics.quantiles(metrics.requestDuration) }))
	metrics.values.Set("held_bytes", expvar.Func(func() any { return memory.Used() }))
	metrics.values.Set("held_bytes_limit", expvar.Func(func() any { return memory.Limit() }))
	return metrics
}

func (metrics *metrics) increment(name string) { metrics.values.Add(name, 1) }

func (metrics *metrics) record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	_ = histogram.RecordValue(duration.Microseconds())
}

func (metrics *metrics) quantiles(histogram *hdrhistogram.Histogram) map[string]int64 {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	return map[string]int64{
		"count": histogram.TotalCount(),
		"p50":   histogram.ValueAtQuantile(50),
		"p95":   histogram.ValueAtQuantile(95),
		"p99":   histogram.ValueAtQuantile(99),
	}
}
