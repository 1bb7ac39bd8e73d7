package olivechute.loadbalancing;

/**
 * A class of requests. A request meets its latency objective if it is served within {@code latencyObjectiveUs} plus
 * {@code objectiveStretch} times its own running time.
 *
 * @param name name by which requests refer to the class
 * @param deadlineUs how long a client waits for the answer, in microseconds
 * @param latencyObjectiveUs fixed part of the latency objective, in microseconds
 * @param objectiveStretch part of the latency objective that grows with the running time, as a multiple of it
 * @param priorityWeight value of a request served within its latency objective
 * @param latePriorityWeight value of a request served after its latency objective
 * @param idempotency whether a request may be attempted more than once
 * @param deduplicationScope which endpoints drop repeats; only for {@link Idempotency#KEYED}
 * @param deduplicationWindowUs how long after the first attempt they drop repeats, in microseconds
 * @param endpointKind kind of endpoint that the class needs, or {@code null} for any
 * @param priority rank of the class in the settings; not used for decisions
 */
public record RequestClass(
        String name,
        long deadlineUs,
        long latencyObjectiveUs,
        double objectiveStretch,
        double priorityWeight,
        double latePriorityWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long deduplicationWindowUs,
        String endpointKind,
        int priority) {}
