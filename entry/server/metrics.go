package server

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramLowest  = 1
	histogramHighest = 3_600_000_000
	histogramDigits  = 2
)

// metrics counts what the entry did, published by expvar.
type metrics struct {
	values     expvar.Map
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	metrics := &metrics{
		firstToken: hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
		whole:      hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits),
	}
	metrics.values.Set("first_token_micros", expvar.Func(func() any { return metrics.quantiles(metrics.firstToken) }))
	metrics.values.Set("request_micros", expvar.Func(func() any { return metrics.quantiles(metrics.whole) }))
	return metrics
}

func (metrics *metrics) count(name string) { metrics.values.Add(name, 1) }

func (metrics *metrics) record(histogram *hdrhistogram.Histogram, took time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	_ = histogram.RecordValue(took.Microseconds())
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
