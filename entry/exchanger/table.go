package exchanger

import "sync"

// table is a map for use by several goroutines.
type table[K comparable, V any] struct {
	mu     sync.RWMutex
	values map[K]V
}

func (t *table[K, V]) get(key K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	value, ok := t.values[key]
	return value, ok
}

func (t *table[K, V]) put(key K, value V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.values == nil {
		t.values = map[K]V{}
	}
	t.values[key] = value
}
