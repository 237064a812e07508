package exchanger

import "sync"

// lockedMap is a map that is safe for concurrent use.
type lockedMap[K comparable, V any] struct {
	mu     sync.RWMutex
	values map[K]V
}

func (m *lockedMap[K, V]) get(key K) (V, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	value, ok := m.values[key]
	return value, ok
}

func (m *lockedMap[K, V]) put(key K, value V) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.values == nil {
		m.values = map[K]V{}
	}
	m.values[key] = value
}
