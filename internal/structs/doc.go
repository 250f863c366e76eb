// Package structs holds the types that the rosedrift processes share: identifiers, jobs, the operators'
// configuration, the messages of the link protocol and the problem errors of the HTTP interfaces.
//
// The package contains no decisions beyond the validation of its own values.
package structs
