package shard

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// Guards against a map that grows beyond its capacity or evicts a key right after its update.
func TestMapIsBoundedAndKeepsRecentKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 8).Draw(t, "shards")
		capacity := rapid.IntRange(1, 64).Draw(t, "capacity")
		keys := rapid.SliceOfN(rapid.IntRange(0, 500), 1, 300).Draw(t, "keys")
		m := New[string, int](shards, capacity, StringHash, nil)
		for _, k := range keys {
			key := fmt.Sprint(k)
			m.Update(key, func(v *int) { *v = k })
			if !m.View(key, func(v *int) {
				if *v != k {
					t.Fatalf("key %s holds %d", key, *v)
				}
			}) {
				t.Fatalf("key %s is missing right after its update", key)
			}
		}
		if m.Len() > capacity+shards {
			t.Fatalf("%d entries exceed the capacity of %d in %d shards", m.Len(), capacity, shards)
		}
	})
}

// Guards against lost updates when several goroutines update the same keys. With -race, it also finds unlocked access.
func TestMapConcurrentUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New[uint64, int](4, 100, Uint64Hash, nil)
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for i := range 1000 {
					m.Update(uint64(i%10), func(v *int) { *v++ })
				}
			})
		}
		wg.Wait()
		sum := 0
		m.Range(func(_ uint64, v *int) bool { sum += *v; return true })
		if sum != 8000 {
			t.Fatalf("counted %d updates, want 8000", sum)
		}
	})
}

// Guards against equal hashes of different parts that are equal when concatenated.
func TestHashStringsSeparatesParts(t *testing.T) {
	if HashStrings("ab", "c") == HashStrings("a", "bc") {
		t.Fatal("(ab, c) and (a, bc) have the same hash")
	}
}
