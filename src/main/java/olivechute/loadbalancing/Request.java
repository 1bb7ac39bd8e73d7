package olivechute.loadbalancing;

/**
 * A client's request.
 *
 * @param id names the request within the node
 * @param requestClass name of its {@link RequestClass}
 * @param tenant name of its {@link Tenant}; may be {@code null}
 * @param idempotencyKey the key that endpoints recognise repeats by; may be {@code null}
 * @param timeLeftUs microseconds until its client gives up
 * @param expectedWorkUs expected running time in microseconds, NaN if not known
 * @param slots how many slots of an endpoint it occupies
 * @param memory what it needs of an endpoint's memory, in the endpoints' unit; NaN if not known
 * @param retry whether the client marked it as a retry of an earlier one
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
    /** The same request with another time left. */
    public Request withTimeLeft(long newTimeLeftUs) {
        return new Request(
                id, requestClass, tenant, idempotencyKey, newTimeLeftUs, expectedWorkUs, slots, memory, retry);
    }
}
