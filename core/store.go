package core

import "encoding/json"

// Version is the version of a stored object; 0 means that it is absent.
type Version uint64

// Object is one object of the platform's store.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Data    json.RawMessage
}

// Store is the port to the platform's object API. After an error of type
// ErrPlatform a write may have taken effect.
type Store struct {
	// Get reads an object; the error is of type ErrNotFound where it is absent.
	Get func(kind, name string) (Object, error)
	// Create writes an object that must not exist; the error is of type
	// ErrConflict where it does.
	Create func(kind, name string, data json.RawMessage) error
	// Update replaces the given version of an object; the error is of type
	// ErrConflict where the version is not the newest.
	Update func(object Object, data json.RawMessage) error
}

// Read decodes an object into target. An absent object leaves target as it is
// and has version 0.
func (s Store) Read(kind, name string, target any) (Object, error) {
	object, err := s.Get(kind, name)
	if IsNotFound(err) {
		return Object{Kind: kind, Name: name}, nil
	}
	if err != nil {
		return Object{}, err
	}
	if err := json.Unmarshal(object.Data, target); err != nil {
		return Object{}, ErrPlatform.Wrap(err, "%s %s", kind, name)
	}
	return object, nil
}

// Write creates an absent object or replaces the given version.
func (s Store) Write(object Object, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if object.Version == 0 {
		return s.Create(object.Kind, object.Name, data)
	}
	return s.Update(object, data)
}
