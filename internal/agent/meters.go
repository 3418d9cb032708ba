package agent

import metrics "github.com/rcrowley/go-metrics"

// meters are the metrics of an agent.
type meters struct {
	started, completed, refused, preempted, tokens metrics.Counter
	queueWait                                      metrics.Histogram // microseconds
}

// sampleSize and sampleAlpha configure an exponentially decaying sample weighted towards the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newMeters(r metrics.Registry) meters {
	return meters{
		started:   metrics.GetOrRegisterCounter("agent.started", r),
		completed: metrics.GetOrRegisterCounter("agent.completed", r),
		refused:   metrics.GetOrRegisterCounter("agent.refused", r),
		preempted: metrics.GetOrRegisterCounter("agent.preempted", r),
		tokens:    metrics.GetOrRegisterCounter("agent.tokens", r),
		queueWait: metrics.GetOrRegisterHistogram("agent.queue_wait_us", r, metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}
