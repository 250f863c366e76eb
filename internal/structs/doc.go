// Package structs declares the types that the rosedrift processes share: identifiers, jobs, the configuration, the
// messages of the link protocol, and the errors of the HTTP interfaces.
//
// The package makes no scheduling or ownership decisions. Its functions parse, format, validate, hash, compare and look
// up the values that it declares.
package structs
