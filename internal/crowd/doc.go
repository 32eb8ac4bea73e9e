// Package crowd has the tests of clients that keep memory and connections of a node busy: they start the
// programs of this project as processes on loopback addresses, with little memory in their settings.
//
// A test checks that the process lives, that its memory and its descriptors stay under a bound, and that an
// ordinary call is answered afterwards. The tests run one at a time, without other load on the machine.
//
// # Usage
//
//	make crowd
package crowd
