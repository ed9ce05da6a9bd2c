// Package policytest holds the black-box tests of the decision module, package policy:
// they hand it events with a time and judge the actions that come back and its View,
// and reach nothing else of it.
package policytest
