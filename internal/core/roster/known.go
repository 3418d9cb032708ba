package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxKnownAddresses is the maximum number of addresses in KnownAddresses.
	MaxKnownAddresses = 16
	// MaxNamedAddresses is the maximum number of addresses that one message may name. A longer list is refused as a whole.
	MaxNamedAddresses = 16
	// KnownAddressLifetime is how long an address is kept after it was last recorded.
	KnownAddressLifetime = time.Minute
)

// KnownAddresses are the addresses of members of the group that a member has learned from messages. It holds at most
// MaxKnownAddresses. Those of senders of messages rank before those that were only named in messages, and among these the one
// that was recorded last ranks first. The zero value is empty.
type KnownAddresses struct {
	known map[string]knownAddress
}

type knownAddress struct {
	at       time.Time
	isSender bool
}

// Record records that the member at an address sent a message at the given time, or, if isSender is false, that a message named it. Times may
// arrive in any order.
func (k *KnownAddresses) Record(address string, at time.Time, isSender bool) {
	if k.known == nil {
		k.known = make(map[string]knownAddress)
	}
	entry := k.known[address]
	if at.After(entry.at) {
		entry.at = at
	}
	entry.isSender = entry.isSender || isSender
	k.known[address] = entry
	if len(k.known) > MaxKnownAddresses {
		ranked := k.ranked()
		delete(k.known, ranked[len(ranked)-1])
	}
}

// List returns the addresses by rank, without those that have expired at now, which it removes.
func (k *KnownAddresses) List(now time.Time) []string {
	for address, entry := range k.known {
		if now.Sub(entry.at) >= KnownAddressLifetime {
			delete(k.known, address)
		}
	}
	return k.ranked()
}

func (k *KnownAddresses) ranked() []string {
	out := make([]string, 0, len(k.known))
	for address := range k.known {
		out = append(out, address)
	}
	slices.SortFunc(out, func(a, b string) int {
		x, y := k.known[a], k.known[b]
		if x.isSender != y.isSender {
			return cmp.Compare(rankOf(x), rankOf(y))
		}
		return cmp.Or(y.at.Compare(x.at), cmp.Compare(a, b))
	})
	return out
}

func rankOf(a knownAddress) int {
	if a.isSender {
		return 0
	}
	return 1
}
