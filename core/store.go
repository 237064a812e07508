package core

import "encoding/json"

// ObjectVersion is the version of an object in the store; 0 means that the object does not
// exist.
type ObjectVersion uint64

// Object is one object in the platform's store. Kind and Name identify it.
type Object struct {
	Kind    string
	Name    string
	Version ObjectVersion
	Data    json.RawMessage
}

// Store is the interface to the platform's object API. A write that returned an error
// of type ErrPlatform may still have taken effect.
type Store struct {
	// Get reads an object; the error is of type ErrNotFound where it does not exist.
	Get func(kind, name string) (Object, error)
	// Create writes an object that must not exist yet; the error is of type
	// ErrConflict where it exists.
	Create func(kind, name string, data json.RawMessage) error
	// Update replaces the data of an object. The object's Kind, Name and Version say what
	// to replace, and its Data is ignored; the error is of type ErrConflict where the
	// store holds another version.
	Update func(object Object, data json.RawMessage) error
}

// Read decodes an object into target. Where the object does not exist, it leaves target
// unchanged and returns an object of version 0.
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

// Write creates the object where its version is 0, and otherwise replaces that version.
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
