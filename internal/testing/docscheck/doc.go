// Package docscheck holds tests that compare pages under docs with the code. It has no code of its
// own.
package docscheck
