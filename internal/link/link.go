package link

// Link is one connection between two rosedrift processes.
type Link struct{}
