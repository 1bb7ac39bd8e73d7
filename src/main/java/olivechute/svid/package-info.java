/**
 * Sources of a node's own SVIDs and trust bundles: a folder that an external agent writes to, or the SPIFFE Workload
 * API. The data is validated by the listener.
 */
package olivechute.svid;
