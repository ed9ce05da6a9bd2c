// Package policytest holds the black-box tests of the balancing policy (package policy): they hand it
// events and check the actions that come back and its Stats, and use nothing else of it.
package policytest
