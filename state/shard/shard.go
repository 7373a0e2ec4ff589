// Package shard provides concurrent maps that distribute their entries over shards, each with its own lock.
package shard

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultShards keeps lock contention low for a few hundred concurrent handlers on small instances.
const DefaultShards = 16

func StringHash(key string) uint64 { return xxhash.Sum64String(key) }

func Uint64Hash(key uint64) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	return xxhash.Sum64(b[:])
}

// separator is hashed after each part, so that ("ab", "c") and ("a", "bc") have different hashes.
var separator = []byte{0}

// HashStrings hashes several strings into one value without allocating.
func HashStrings(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write(separator)
	}
	return d.Sum64()
}

// Map is a map of bounded size. When a shard is full, its least recently used entry is evicted, so memory does not grow
// with the number of keys ever seen. All methods are safe for concurrent use.
type Map[K comparable, V any] struct {
	shards []lruShard[K, V]
	hash   func(K) uint64
	create func(K) *V
}

type lruShard[K comparable, V any] struct {
	mu  sync.Mutex
	lru *simplelru.LRU[K, *V]
}

// New returns a map of at most capacity entries, rounded up to a multiple of shards. create returns the value of a new
// key; a nil create stands for the zero value.
func New[K comparable, V any](shards, capacity int, hash func(K) uint64, create func(K) *V) *Map[K, V] {
	shards = max(shards, 1)
	perShard := max((capacity+shards-1)/shards, 1)
	if create == nil {
		create = func(K) *V { return new(V) }
	}
	m := &Map[K, V]{shards: make([]lruShard[K, V], shards), hash: hash, create: create}
	for i := range m.shards {
		// The error is ignored, since NewLRU only fails for sizes below 1.
		m.shards[i].lru, _ = simplelru.NewLRU[K, *V](perShard, nil)
	}
	return m
}

func (m *Map[K, V]) shard(key K) *lruShard[K, V] {
	return &m.shards[m.hash(key)%uint64(len(m.shards))]
}

// Update calls f with the value of key under the lock of its shard and creates the value when it is absent. f must not
// call methods of the map and must not retain the pointer.
func (m *Map[K, V]) Update(key K, f func(*V)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.lru.Get(key)
	if !ok {
		v = m.create(key)
		s.lru.Add(key, v)
	}
	f(v)
}

// View calls f with the value of key under the lock of its shard if the key is present, and reports whether it was.
// The same restrictions apply as for Update.
func (m *Map[K, V]) View(key K, f func(*V)) bool {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.lru.Get(key)
	if ok {
		f(v)
	}
	return ok
}

func (m *Map[K, V]) Delete(key K) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lru.Remove(key)
}

// Range calls f for every entry, one shard at a time under its lock, from least to most recently used. f returns
// false to stop and must not call methods of the map.
func (m *Map[K, V]) Range(f func(K, *V) bool) {
	for i := range m.shards {
		if !m.shards[i].forEach(f) {
			return
		}
	}
}

func (s *lruShard[K, V]) forEach(f func(K, *V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range s.lru.Keys() {
		if v, ok := s.lru.Peek(key); ok && !f(key, v) {
			return false
		}
	}
	return true
}

// Len returns the number of entries. Concurrent changes may be counted in part, because shards are locked in turn.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += m.shards[i].lru.Len()
		m.shards[i].mu.Unlock()
	}
	return n
}
