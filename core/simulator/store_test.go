package simulator

import (
	"encoding/json"

	"github.com/endiverun/endiverun/core"
)

// store is the simulated platform's store and its current faults.
type store struct {
	simulation *simulation
	objects    map[string]core.Object
	version    core.ObjectVersion
	down       bool
	// lostResponses is the number of next writes that take effect without a response.
	lostResponses int
	// beforeWrite runs once, directly before the next write, to cause races.
	beforeWrite func()
	// unreachableZones holds the availability zones that can't reach the store.
	unreachableZones map[core.ZoneName]bool
}

// newStore returns an empty store without faults.
func newStore(sim *simulation) *store {
	return &store{simulation: sim, objects: map[string]core.Object{}, unreachableZones: map[core.ZoneName]bool{}}
}

// checkReachable returns an error of type core.ErrPlatform where the node can't reach the
// store.
func (s *store) checkReachable(n *node) error {
	if s.down || s.unreachableZones[n.steerer.Self.Zone.Name] {
		return core.ErrPlatform.New("down")
	}
	return nil
}

// client returns the interface to the store for one node.
func (s *store) client(n *node) core.Store {
	return core.Store{
		Get: func(kind, name string) (core.Object, error) {
			if err := s.checkReachable(n); err != nil {
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

// write applies one write, under the current faults.
func (s *store) write(n *node, apply func() error) error {
	if err := s.checkReachable(n); err != nil {
		return err
	}
	if beforeWrite := s.beforeWrite; beforeWrite != nil {
		s.beforeWrite = nil
		beforeWrite()
	}
	err := apply()
	if s.lostResponses > 0 {
		s.lostResponses--
		return core.ErrPlatform.New("answer lost")
	}
	return err
}

// create writes an object that must not exist.
func (s *store) create(kind, name string, data json.RawMessage) error {
	key := kind + "/" + name
	if _, ok := s.objects[key]; ok {
		return core.ErrConflict.New("%s", key)
	}
	s.put(key, core.Object{Kind: kind, Name: name}, data)
	return nil
}

// update replaces the given version of an object.
func (s *store) update(object core.Object, data json.RawMessage) error {
	key := object.Kind + "/" + object.Name
	if s.objects[key].Version != object.Version {
		return core.ErrConflict.New("%s", key)
	}
	s.put(key, object, data)
	return nil
}

// put stores an object under a new version.
func (s *store) put(key string, object core.Object, data json.RawMessage) {
	s.version++
	object.Version = s.version
	object.Data = data
	s.objects[key] = object
}
