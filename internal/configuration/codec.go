package configuration

import (
	"encoding/json"

	"rosedrift.example/rosedrift/internal/structs"
)

// Default returns the document of a new system: revision 0, no services, default limits.
func Default() *structs.Configuration {
	document := &structs.Configuration{Limits: structs.DefaultLimits()}
	fillMaps(document)
	return document
}

// Encode returns the form of the document in the store and in ConfigDocument messages.
func Encode(document *structs.Configuration) ([]byte, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, &DecodeError{Err: err}
	}
	return raw, nil
}

// Decode parses the form that Encode returns. Its maps are never nil. Malformed input is a *DecodeError.
func Decode(raw []byte) (*structs.Configuration, error) {
	document := &structs.Configuration{}
	if err := json.Unmarshal(raw, document); err != nil {
		return nil, &DecodeError{Err: err}
	}
	fillMaps(document)
	return document, nil
}

// Clone returns a deep copy.
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

func fillMaps(document *structs.Configuration) {
	fillMap(&document.Services)
	fillMap(&document.Zones)
	fillMap(&document.Servers)
	fillMap(&document.Teams)
	fillMap(&document.Retired)
}

func fillMap[V any](m *map[string]V) {
	if *m == nil {
		*m = map[string]V{}
	}
}
