package membership

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is a power of two well above the number of cores of an instance, so that two cores rarely meet.
const shardCount = 32

// shardMap is a map from strings whose shards have their own locks. It is to be replaced by state/shard.
type shardMap[V any] struct {
	shards [shardCount]mapShard[V]
}

type mapShard[V any] struct {
	mu    sync.RWMutex
	items map[string]V
}

func newShardMap[V any]() *shardMap[V] {
	m := &shardMap[V]{}
	for i := range m.shards {
		m.shards[i].items = make(map[string]V)
	}
	return m
}

func (m *shardMap[V]) shard(key string) *mapShard[V] {
	return &m.shards[xxhash.Sum64String(key)%shardCount]
}

func (m *shardMap[V]) get(key string) (V, bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.items[key]
	return v, ok
}

func (m *shardMap[V]) set(key string, v V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[key] = v
}

func (m *shardMap[V]) remove(key string) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// locked runs f on the shard of a key under its lock.
func (m *shardMap[V]) locked(key string, f func(items map[string]V)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.items)
}

// each runs f on every shard in turn under its lock. f may delete items.
func (m *shardMap[V]) each(f func(items map[string]V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		f(s.items)
		s.mu.Unlock()
	}
}

// eachRead runs f on every item, under the read lock of its shard.
func (m *shardMap[V]) eachRead(f func(key string, v V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for key, v := range s.items {
			f(key, v)
		}
		s.mu.RUnlock()
	}
}
