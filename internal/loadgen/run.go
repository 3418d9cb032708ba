package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const progressInterval = time.Second

// Options are what a run needs beside its scenario.
type Options struct {
	Progress io.Writer // gets a line that is written over each second; nil: none
	Remote   bool      // allow addresses that are not loopback

	transport http.RoundTripper // in place of the network, for tests
}

// Run sends the requests of a scenario and returns what callers saw. When ctx ends early, the result covers what
// happened until then.
func Run(ctx context.Context, s Scenario, opts Options) (*Result, error) {
	s = s.withDefaults()
	if err := s.Validate(opts.Remote); err != nil {
		return nil, err
	}
	snd := newSender(s)
	if opts.transport != nil {
		snd.shared.Transport, snd.single.Transport = opts.transport, opts.transport
	}
	defer snd.close()
	r := &runner{sender: snd, collector: newCollector(s), slots: make(chan struct{}, s.MaxOutstanding)}
	stop := r.showProgress(opts.Progress)
	defer stop()
	r.dispatch(ctx)
	result := r.collector.result(r.sender.started)
	if s.Orders != nil && len(s.Orders.ArrivalURLs) > 0 {
		if err := r.collector.compareOrders(context.WithoutCancel(ctx), snd, result); err != nil {
			return result, errors.Annotate(err, "arrivals of orders")
		}
	}
	return result, nil
}

// runner is one run.
type runner struct {
	sender    *sender
	collector *collector
	slots     chan struct{}
	running   sync.WaitGroup
}

// dispatch starts each request at its time, and waits for the answers.
func (r *runner) dispatch(ctx context.Context) {
	sending, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.sender.started = time.Now()
	r.collector.begin(r.sender.started)
	for req := range schedule(r.sender.scenario) {
		if !sleepUntil(ctx, r.sender.started.Add(req.at)) {
			break
		}
		select {
		case r.slots <- struct{}{}:
			r.running.Go(func() {
				r.collector.add(r.sender.send(sending, req))
				<-r.slots
			})
		default:
			r.collector.add(sample{request: req, end: endUnsent})
		}
	}
	drained := time.AfterFunc(seconds(r.sender.scenario.DrainS), cancel)
	defer drained.Stop()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	r.running.Wait()
}

// sleepUntil reports false when ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// showProgress writes a line each second until stop is called.
func (r *runner) showProgress(w io.Writer) (stop func()) {
	if w == nil {
		return func() {}
	}
	done := make(chan struct{})
	var finished sync.WaitGroup
	finished.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				_, _ = fmt.Fprintln(w)
				return
			case <-ticker.C:
				_, _ = fmt.Fprintf(w, "\r%s", r.collector.line(len(r.slots)))
			}
		}
	})
	return func() {
		close(done)
		finished.Wait()
	}
}
