// Package structs declares the types that the rosedrift processes share: identifiers, jobs, the configuration, the
// messages of the link protocol, and the errors of the HTTP interfaces.
//
// Apart from the validation of its values, the package contains no logic.
package structs
