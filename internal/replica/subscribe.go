package replica

import "sync"

// subscriber receives applied commands until it falls behind.
type subscriber struct {
	ch   chan Applied
	once sync.Once
}

func (s *subscriber) close() { s.once.Do(func() { close(s.ch) }) }

// Subscribe returns the commands applied from now on, and a function that ends the subscription. Called inside View
// it leaves no gap after what View shows. The channel is closed when more than buffer commands wait in it, or when a
// snapshot replaced the state: the subscriber then reads the state with View and subscribes again.
func (r *Replica) Subscribe(buffer int) (<-chan Applied, func()) {
	s := &subscriber{ch: make(chan Applied, buffer)}
	r.subsMu.Lock()
	defer r.subsMu.Unlock()
	r.subs[s] = struct{}{}
	return s.ch, func() { r.unsubscribe(s) }
}

func (r *Replica) unsubscribe(s *subscriber) {
	r.subsMu.Lock()
	defer r.subsMu.Unlock()
	delete(r.subs, s)
	s.close()
}

// notify hands a to every subscriber.
func (r *Replica) notify(a Applied) {
	r.subsMu.Lock()
	defer r.subsMu.Unlock()
	for s := range r.subs {
		select {
		case s.ch <- a:
		default:
			delete(r.subs, s)
			s.close()
		}
	}
}

// dropSubscribers ends all subscriptions.
func (r *Replica) dropSubscribers() {
	r.subsMu.Lock()
	defer r.subsMu.Unlock()
	for s := range r.subs {
		delete(r.subs, s)
		s.close()
	}
}
