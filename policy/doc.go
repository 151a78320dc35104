// Package policy measures the pure decisions about the dispatch of work
// against an omniscient single queue, in virtual time. It has test files only.
package policy
