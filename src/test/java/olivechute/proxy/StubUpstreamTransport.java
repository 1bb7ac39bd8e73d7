package olivechute.proxy;

/**
 * A transport whose endpoints accept every attempt and never respond. Tests post the events themselves and override the
 * methods that they observe.
 */
abstract class StubUpstreamTransport implements UpstreamTransport {
    @Override
    public void onListUpdate(EndpointListUpdate update) {
        // no endpoint to connect to
    }

    @Override
    public boolean acceptsRequests(String endpoint) {
        return true;
    }

    @Override
    public void send(UpstreamRequest attempt) {
        // the test posts the outcome
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest attempt) {
        return true;
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest attempt) {
        // no connection is open
    }

    @Override
    public boolean cancelWithoutReport(UpstreamRequest attempt, boolean accepted) {
        return false;
    }

    @Override
    public long handshakeAllowanceUs(UpstreamRequest attempt) {
        return 0;
    }

    @Override
    public void cancelAndReportEnd(UpstreamRequest attempt, boolean accepted) {
        // no connection is open
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        // no connection is open
    }
}
