package olivechute.proxy;

/**
 * One attempt to have an endpoint execute a request.
 *
 * @param requestId id of the request
 * @param attemptNumber number of the attempt within the request, from 0
 * @param endpoint name of the endpoint
 * @param timeoutUs how long the node waits for the attempt to end, in microseconds
 * @param requiresNewConnection whether the attempt must not use an idle connection, as an earlier attempt failed on one
 * @param preSendCheck called immediately before the first byte is written
 */
public record UpstreamRequest(
        String requestId,
        int attemptNumber,
        String endpoint,
        Payload payload,
        long timeoutUs,
        boolean requiresNewConnection,
        PreSendCheck preSendCheck) {}
