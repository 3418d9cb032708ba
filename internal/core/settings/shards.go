package settings

import "github.com/cespare/xxhash/v2"

const shardCount = 256

// shards is a persistent map: a changed copy shares all shards but the changed ones with the original. The zero value is
// empty.
type shards[V any] struct {
	parts [shardCount]map[string]V
	size  int
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

func (s *shards[V]) get(key string) (V, bool) {
	v, ok := s.parts[shardOf(key)][key]
	return v, ok
}

// each calls f for every entry, in no particular order.
func (s *shards[V]) each(f func(key string, v V)) {
	for _, part := range s.parts {
		for k, v := range part {
			f(k, v)
		}
	}
}

// editor changes a copy of a map and leaves the original unchanged.
type editor[V any] struct {
	next   *shards[V]
	copied [shardCount]bool // parts that have been copied
}

func (s *shards[V]) edit() *editor[V] {
	next := *s
	return &editor[V]{next: &next}
}

func (e *editor[V]) part(key string) map[string]V {
	i := shardOf(key)
	if !e.copied[i] {
		part := make(map[string]V, len(e.next.parts[i])+1)
		for k, v := range e.next.parts[i] {
			part[k] = v
		}
		e.next.parts[i] = part
		e.copied[i] = true
	}
	return e.next.parts[i]
}

func (e *editor[V]) set(key string, v V) {
	part := e.part(key)
	if _, ok := part[key]; !ok {
		e.next.size++
	}
	part[key] = v
}

func (e *editor[V]) remove(key string) {
	part := e.part(key)
	if _, ok := part[key]; ok {
		e.next.size--
		delete(part, key)
	}
}
