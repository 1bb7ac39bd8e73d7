/**
 * SPIFFE identities: IDs, the X.509 and JWT SVIDs that carry them, and the trust bundles that verify these. Does no I/O
 * and reads no clock: bytes, certificates and the current time are arguments. See the SPIFFE-ID, X509-SVID, JWT-SVID
 * and Trust Domain and Bundle standards.
 */
package olivechute.identity;
