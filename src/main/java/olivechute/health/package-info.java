/**
 * What a node infers about its endpoints from its connections: health and ejections, which idle connections may be
 * reused, and adaptive timeouts, together with the limits of the retry budget. No I/O; times and random numbers are
 * arguments. The load balancer queries this package and makes the decisions. Times are microseconds.
 */
package olivechute.health;
