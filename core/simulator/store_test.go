package simulator

import (
	"encoding/json"

	"github.com/endiverun/endiverun/core"
)

// store is the simulated platform store with its faults.
type store struct {
	world   *world
	objects map[string]core.Object
	version core.Version
	down    bool
	// lose drops the answers of this many writes to come.
	lose int
	// between runs before the next write, so that races happen.
	between func()
	cut     map[core.ZoneName]bool
}

func newStore(w *world) *store {
	return &store{world: w, objects: map[string]core.Object{}, cut: map[core.ZoneName]bool{}}
}

func (s *store) reachable(n *node) error {
	if s.down || s.cut[n.steerer.Self.Zone.Name] {
		return core.ErrPlatform.New("down")
	}
	return nil
}

// port returns the store as one host reaches it.
func (s *store) port(n *node) core.Store {
	return core.Store{
		Get: func(kind, name string) (core.Object, error) {
			if err := s.reachable(n); err != nil {
				return core.Object{}, err
			}
			object, ok := s.objects[kind+"/"+name]
			if !ok {
				return core.Object{}, core.ErrNotFound.New("%s", name)
			}
			return object, nil
		},
		Create: func(kind, name string, data json.RawMessage) error {
			return s.write(n, func() error { return s.create(kind, name, data) })
		},
		Update: func(object core.Object, data json.RawMessage) error {
			return s.write(n, func() error { return s.update(object, data) })
		},
	}
}

// write does one write with the faults that await it.
func (s *store) write(n *node, do func() error) error {
	if err := s.reachable(n); err != nil {
		return err
	}
	if between := s.between; between != nil {
		s.between = nil
		between()
	}
	err := do()
	if s.lose > 0 {
		s.lose--
		return core.ErrPlatform.New("answer lost")
	}
	return err
}

func (s *store) create(kind, name string, data json.RawMessage) error {
	key := kind + "/" + name
	if _, ok := s.objects[key]; ok {
		return core.ErrConflict.New("%s", key)
	}
	s.put(key, core.Object{Kind: kind, Name: name}, data)
	return nil
}

func (s *store) update(object core.Object, data json.RawMessage) error {
	key := object.Kind + "/" + object.Name
	if s.objects[key].Version != object.Version {
		return core.ErrConflict.New("%s", key)
	}
	s.put(key, object, data)
	return nil
}

func (s *store) put(key string, object core.Object, data json.RawMessage) {
	s.version++
	object.Version = s.version
	object.Data = data
	s.objects[key] = object
}
