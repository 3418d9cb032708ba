package replica

import "sync"

// subscriber receives applied commands until its buffer overflows.
type subscriber struct {
	ch   chan Applied
	once sync.Once
}

func (s *subscriber) close() { s.once.Do(func() { close(s.ch) }) }

// Subscribe returns a channel of the commands applied from now on, and a function that ends the subscription. If it is called
// within View, no command is missed between that view and the subscription. The channel is closed when more than buffer commands
// are pending or a snapshot has replaced the state; the subscriber must then read the state with View and subscribe again.
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

// notify sends a to all subscribers and ends the subscriptions whose buffer is full.
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
