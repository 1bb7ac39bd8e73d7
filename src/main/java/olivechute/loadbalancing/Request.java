package olivechute.loadbalancing;

/**
 * A client's request.
 *
 * @param id unique id of the request within the node
 * @param requestClass name of its {@link RequestClass}
 * @param tenant name of its {@link Tenant}; may be {@code null}
 * @param idempotencyKey key by which endpoints recognise repeats; may be {@code null}
 * @param timeLeftUs microseconds until its client gives up
 * @param expectedWorkUs expected running time in microseconds, NaN if unknown
 * @param slots number of slots of an endpoint that it occupies
 * @param memory memory that it needs, in the endpoints' unit; NaN if unknown
 * @param retry whether the client marked it as a retry of an earlier request
 */
public record Request(
        String id,
        String requestClass,
        String tenant,
        String idempotencyKey,
        long timeLeftUs,
        double expectedWorkUs,
        int slots,
        double memory,
        boolean retry) {
    /** Returns the same request with another remaining time, in microseconds. */
    public Request withTimeLeft(long newTimeLeftUs) {
        return new Request(
                id, requestClass, tenant, idempotencyKey, newTimeLeftUs, expectedWorkUs, slots, memory, retry);
    }
}
