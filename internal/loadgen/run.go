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

// Options configure a run in addition to its scenario.
type Options struct {
	Progress io.Writer // receives a progress line, overwritten every second; nil: none
	Remote   bool      // allow addresses that are not loopback

	transport http.RoundTripper // replaces the network in tests
}

// Run sends the requests of a scenario and returns their latencies and outcomes. If ctx ends early, the result covers the requests
// sent until then. If the orders can't be compared with their arrivals, it returns both the result and an error.
func Run(ctx context.Context, s Scenario, opts Options) (*Result, error) {
	s = s.withDefaults()
	if err := s.Validate(opts.Remote); err != nil {
		return nil, err
	}
	snd := newSender(s)
	if opts.transport != nil {
		snd.promptClient.Transport, snd.orderClient.Transport = opts.transport, opts.transport
	}
	defer snd.close()
	r := &runner{sender: snd, collector: newCollector(s), slots: make(chan struct{}, s.MaxOutstanding)}
	stop := r.showProgress(opts.Progress)
	defer stop()
	r.dispatch(ctx)
	result := r.collector.result(r.sender.started)
	if s.Orders != nil && len(s.Orders.ArrivalURLs) > 0 {
		if err := r.collector.compareOrders(context.WithoutCancel(ctx), snd, result); err != nil {
			return result, errors.Annotate(err, "compare orders with arrivals")
		}
	}
	return result, nil
}

// runner executes one run.
type runner struct {
	sender    *sender
	collector *collector
	slots     chan struct{} // holds an element for each request in flight
	running   sync.WaitGroup
}

// dispatch sends each request at its intended time, and then waits for the responses for up to DrainS seconds or until ctx ends.
func (r *runner) dispatch(ctx context.Context) {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.sender.started = time.Now()
	r.collector.setStart(r.sender.started)
	for req := range schedule(r.sender.scenario) {
		if !sleepUntil(ctx, r.sender.started.Add(req.at)) {
			break
		}
		select {
		case r.slots <- struct{}{}:
			r.running.Go(func() {
				r.collector.add(r.sender.send(sendCtx, req))
				<-r.slots
			})
		default:
			r.collector.add(sample{request: req, outcome: outcomeUnsent})
		}
	}
	drainTimer := time.AfterFunc(seconds(r.sender.scenario.DrainS), cancel)
	defer drainTimer.Stop()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	r.running.Wait()
}

// sleepUntil sleeps until the given time. It returns false when ctx ends first.
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

// showProgress writes a progress line every second until stop is called.
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
				_, _ = fmt.Fprintf(w, "\r%s", r.collector.progressLine(len(r.slots)))
			}
		}
	})
	return func() {
		close(done)
		finished.Wait()
	}
}
