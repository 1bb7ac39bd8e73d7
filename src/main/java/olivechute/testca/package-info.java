/**
 * A certificate authority for development and tests: the root of a trust domain, an intermediate, SVIDs of workloads,
 * and deliberate forgeries. It keeps keys in files and is not part of a node.
 */
package olivechute.testca;
