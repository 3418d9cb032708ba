package settings

import "time"

// MaxWithdrawnKeys is the number of withdrawn keys kept per organisation. The oldest are deleted first. A deleted key
// can't be distinguished from one that never existed.
const MaxWithdrawnKeys = 16

// expiredKeyRetention is how long a key is kept after its expiry.
const expiredKeyRetention = 7 * 24 * time.Hour

// keyring indexes keys by hash, by id and by organisation.
type keyring struct {
	byHash         *shards[Key]      // key: the 32 bytes of the hash
	byID           *shards[[32]byte] // the hash
	byOrganisation *shards[[]string] // ids, oldest first
}

func newKeyring() keyring {
	return keyring{byHash: &shards[Key]{}, byID: &shards[[32]byte]{}, byOrganisation: &shards[[]string]{}}
}

// apply returns a copy of r in which keys are added or replaced and the keys with the ids in removed are deleted.
func (r keyring) apply(keys []Key, removed []string) keyring {
	if len(keys) == 0 && len(removed) == 0 {
		return r
	}
	hashes, ids, organisations := r.byHash.edit(), r.byID.edit(), r.byOrganisation.edit()
	for _, k := range keys {
		hashes.set(string(k.Hash[:]), k)
		if _, ok := ids.next.get(k.ID); !ok {
			list, _ := organisations.next.get(k.Organisation)
			organisations.set(k.Organisation, append(list[:len(list):len(list)], k.ID))
		}
		ids.set(k.ID, k.Hash)
	}
	for _, id := range removed {
		h, ok := ids.next.get(id)
		if !ok {
			continue
		}
		k, _ := hashes.next.get(string(h[:]))
		hashes.remove(string(h[:]))
		ids.remove(id)
		list, _ := organisations.next.get(k.Organisation)
		organisations.set(k.Organisation, without(list, id))
	}
	return keyring{byHash: hashes.next, byID: ids.next, byOrganisation: organisations.next}
}

func without(list []string, s string) []string {
	out := make([]string, 0, len(list))
	for _, v := range list {
		if v != s {
			out = append(out, v)
		}
	}
	return out
}

// excessWithdrawnKeys returns the ids of the organisation's oldest withdrawn keys, which must be deleted so that one more
// withdrawn key stays within MaxWithdrawnKeys.
func (t *Tree) excessWithdrawnKeys(organisation string) []string {
	var withdrawn []string
	for _, k := range t.Keys(organisation) {
		if k.Withdrawn {
			withdrawn = append(withdrawn, k.ID)
		}
	}
	if len(withdrawn) < MaxWithdrawnKeys {
		return nil
	}
	return withdrawn[:len(withdrawn)-MaxWithdrawnKeys+1]
}

// longExpired returns the ids of the organisation's keys that expired more than expiredKeyRetention before atMS, in
// milliseconds since 1970.
func (t *Tree) longExpired(organisation string, atMS int64) []string {
	limit := time.UnixMilli(atMS).Add(-expiredKeyRetention)
	var ids []string
	for _, k := range t.Keys(organisation) {
		if !k.Expires.IsZero() && k.Expires.Before(limit) {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
