/**
 * TLS with SPIFFE identities on both sides: a state machine that processes a connection's bytes and does no I/O, and
 * the contexts that provide its keys and check its peers. Not loaded by a node that uses plain TCP only.
 */
package olivechute.tls;
