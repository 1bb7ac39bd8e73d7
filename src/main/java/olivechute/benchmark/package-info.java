/**
 * Benchmarks of what a request costs a node: simulated clients, endpoints and discovery on loopback around a node in a
 * process of its own, whose allocations, system calls and copies are counted. {@code serve} loads none of it.
 */
package olivechute.benchmark;
