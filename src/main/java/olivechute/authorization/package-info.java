/**
 * Authorization of identities: which tenants a client may use, and which identity an endpoint must have. Works on
 * SPIFFE IDs that have already been verified; does no I/O.
 */
package olivechute.authorization;
