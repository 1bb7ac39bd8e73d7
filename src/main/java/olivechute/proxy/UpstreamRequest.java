package olivechute.proxy;

/**
 * One attempt at a request at one endpoint.
 *
 * @param requestId names the request
 * @param attempt number of the attempt, from 0
 * @param endpoint name of the endpoint
 * @param timeoutUs how long the node waits for its end, in microseconds
 * @param newConnection whether it must not use a connection that was idle, as such a one broke under this request
 * @param preSendCheck asked directly before the first byte
 */
public record UpstreamRequest(
        String requestId,
        int attemptNumber,
        String endpoint,
        Payload payload,
        long timeoutUs,
        boolean requiresNewConnection,
        PreSendCheck preSendCheck) {}
