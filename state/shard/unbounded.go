package shard

import "sync"

// UnboundedMap is a map without eviction, for owners that limit the number of keys themselves and must not lose one.
// Concurrent reads of a shard do not block each other. All methods are safe for concurrent use.
type UnboundedMap[K comparable, V any] struct {
	shards []unboundedShard[K, V]
	hash   func(K) uint64
}

type unboundedShard[K comparable, V any] struct {
	mu    sync.RWMutex
	items map[K]V
}

// NewUnboundedMap returns an empty map with at least one shard.
func NewUnboundedMap[K comparable, V any](shards int, hash func(K) uint64) *UnboundedMap[K, V] {
	m := &UnboundedMap[K, V]{shards: make([]unboundedShard[K, V], max(shards, 1)), hash: hash}
	for i := range m.shards {
		m.shards[i].items = make(map[K]V)
	}
	return m
}

func (m *UnboundedMap[K, V]) shard(key K) *unboundedShard[K, V] {
	return &m.shards[m.hash(key)%uint64(len(m.shards))]
}

func (m *UnboundedMap[K, V]) Get(key K) (value V, ok bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	value, ok = s.items[key]
	return value, ok
}

// View calls f with the value of key under the read lock of its shard if the key is present. f must not call methods
// of the map and must not change what the value refers to.
func (m *UnboundedMap[K, V]) View(key K, f func(V)) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if value, ok := s.items[key]; ok {
		f(value)
	}
}

// Set adds or replaces the value of key.
func (m *UnboundedMap[K, V]) Set(key K, value V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[key] = value
}

func (m *UnboundedMap[K, V]) Delete(key K) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// Update calls f with the items of the shard of key under its lock. f may read, set and delete the item of key; it must
// not call methods of the map and must not retain items.
func (m *UnboundedMap[K, V]) Update(key K, f func(items map[K]V)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.items)
}

// UpdateAll calls f with the items of every shard in turn, each under its lock. f may change and delete items; it must
// not call methods of the map and must not retain items.
func (m *UnboundedMap[K, V]) UpdateAll(f func(items map[K]V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		f(s.items)
		s.mu.Unlock()
	}
}

// Range calls f for every item, one shard at a time under its read lock. The restrictions of View apply.
func (m *UnboundedMap[K, V]) Range(f func(key K, value V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for key, value := range s.items {
			f(key, value)
		}
		s.mu.RUnlock()
	}
}
