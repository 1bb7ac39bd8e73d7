/**
 * A node's request metrics and their transmission to the supervisor of its machine. Counters are cumulative since the
 * process started: the next report makes up for a lost one, and a report that arrives twice counts once. No class of
 * this package is loaded unless {@code OLIVECHUTE_FIGURES} is set.
 */
package olivechute.metrics;
