/**
 * Runs real nodes between stub clients, servers and discovery under faults drawn from a seed, and checks what the stubs
 * observed against the invariants. {@link olivechute.soak.SoakIT} runs a few seeds, and further ones on request.
 */
package olivechute.soak;
