/**
 * Identity-based security of a node: connects TLS, the active SVIDs and trust bundles, and the authorization rules to
 * the downstream and upstream sides. Loaded only if the operator's settings enable identities.
 */
package olivechute.security;
