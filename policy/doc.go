// Package policy holds tests that run the dispatch policy of the entry hosts in
// virtual time and compare it with an omniscient single queue. It has test files
// only.
package policy
