package configuration

import (
	"encoding/json"

	"rosedrift.example/rosedrift/internal/structs"
)

// Default returns the document of a new system, before the first change: revision 0, no services, default limits.
func Default() *structs.Configuration {
	document := &structs.Configuration{Limits: structs.DefaultLimits()}
	initMaps(document)
	return document
}

// Encode returns the document as JSON, the form that the store and ConfigDocument messages hold.
func Encode(document *structs.Configuration) ([]byte, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return raw, nil
}

// Decode parses a document in the form that Encode returns. The maps of the document are never nil. The error is a
// *DecodeError.
func Decode(raw []byte) (*structs.Configuration, error) {
	document := &structs.Configuration{}
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, &DecodeError{Err: err}
	}
	initMaps(document)
	return document, nil
}

// Clone returns a deep copy of the document.
func Clone(document *structs.Configuration) *structs.Configuration {
	copied := *document
	copied.Services = make(map[string]structs.ServiceConfig, len(document.Services))
	for name, service := range document.Services {
		service.Zones = append([]string(nil), service.Zones...)
		copied.Services[name] = service
	}
	copied.Zones = cloneMap(document.Zones)
	copied.Servers = cloneMap(document.Servers)
	copied.Teams = cloneMap(document.Teams)
	copied.Retired = cloneMap(document.Retired)
	return &copied
}

func cloneMap[V any](source map[string]V) map[string]V {
	copied := make(map[string]V, len(source))
	for key, value := range source {
		copied[key] = value
	}
	return copied
}

// initMaps replaces nil maps by empty ones, so that callers can write to them.
func initMaps(document *structs.Configuration) {
	initMap(&document.Services)
	initMap(&document.Zones)
	initMap(&document.Servers)
	initMap(&document.Teams)
	initMap(&document.Retired)
}

func initMap[V any](m *map[string]V) {
	if *m == nil {
		*m = map[string]V{}
	}
}
