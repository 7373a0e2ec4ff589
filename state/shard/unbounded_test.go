package shard

import (
	"maps"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Guards against keys that are lost, get another key's value or remain after their deletion, for any number of shards.
func TestUnboundedMapMatchesPlainMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewUnboundedMap[uint64, int](rapid.IntRange(0, 8).Draw(t, "shards"), Uint64Hash)
		want := make(map[uint64]int)
		for i := range rapid.IntRange(1, 300).Draw(t, "steps") {
			key := rapid.Uint64Range(0, 50).Draw(t, "key")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				m.Set(key, i)
				want[key] = i
			case 1:
				m.Delete(key)
				delete(want, key)
			case 2:
				m.Update(key, func(items map[uint64]int) { items[key] += i })
				want[key] += i
			case 3:
				odd := func(_ uint64, value int) bool { return value%2 == 1 }
				m.UpdateAll(func(items map[uint64]int) { maps.DeleteFunc(items, odd) })
				maps.DeleteFunc(want, odd)
			}
			value, ok := m.Get(key)
			if wantValue, wantOK := want[key]; value != wantValue || ok != wantOK {
				t.Fatalf("key %d holds %d, %t; want %d, %t", key, value, ok, wantValue, wantOK)
			}
			viewed := false
			m.View(key, func(v int) { viewed = v == value })
			if viewed != ok {
				t.Fatalf("View of key %d saw the value: %t, want %t", key, viewed, ok)
			}
		}
		got := make(map[uint64]int)
		m.Range(func(key uint64, value int) { got[key] = value })
		if !maps.Equal(got, want) {
			t.Fatalf("map holds %v, want %v", got, want)
		}
	})
}

// Guards against lost updates when several goroutines update the same keys. With -race, it also finds unlocked access.
func TestUnboundedMapConcurrentUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewUnboundedMap[uint64, int](4, Uint64Hash)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for i := range 1000 {
					key := uint64(i % 10)
					m.Update(key, func(items map[uint64]int) { items[key]++ })
					m.Get(key)
				}
			})
		}
		wg.Wait()
		sum := 0
		m.Range(func(_ uint64, value int) { sum += value })
		if sum != 8000 {
			t.Fatalf("counted %d updates, want 8000", sum)
		}
	})
}
