package settings

import "time"

// MaxWithdrawnKeys is how many withdrawn keys of an organisation are remembered. The oldest ones go first; a
// forgotten key is as unknown as one that never existed.
const MaxWithdrawnKeys = 16

// expiredKeyMemory is how long an expired key is remembered.
const expiredKeyMemory = 7 * 24 * time.Hour

// keyring finds keys by hash, by id and by organisation.
type keyring struct {
	byHash         *shards[Key]      // key: the 32 bytes of the hash
	byID           *shards[[32]byte] // the hash
	byOrganisation *shards[[]string] // ids, oldest first
}

func newKeyring() keyring {
	return keyring{byHash: &shards[Key]{}, byID: &shards[[32]byte]{}, byOrganisation: &shards[[]string]{}}
}

// apply returns a ring with keys put in or replaced and the ids in removed taken out.
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

// forgotten returns the ids of withdrawn keys beyond the bound, given one more withdrawal.
func (t *Tree) forgotten(organisation string) []string {
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

// longExpired returns the ids of keys of an organisation that expired long before a time, in milliseconds since 1970.
func (t *Tree) longExpired(organisation string, atMS int64) []string {
	limit := time.UnixMilli(atMS).Add(-expiredKeyMemory)
	var ids []string
	for _, k := range t.Keys(organisation) {
		if !k.Expires.IsZero() && k.Expires.Before(limit) {
			ids = append(ids, k.ID)
		}
	}
	return ids
}
