package olivechute.proxy;

/**
 * Upstream hosts that take everything and do nothing: a test tells what becomes of it, and overrides what it wants to
 * see.
 */
abstract class StubUpstreamTransport implements UpstreamTransport {
    @Override
    public void onListUpdate(EndpointListUpdate update) {
        // there is nothing to reach
    }

    @Override
    public boolean acceptsRequests(String endpoint) {
        return true;
    }

    @Override
    public void send(UpstreamRequest attempt) {
        // the test tells what becomes of it
    }

    @Override
    public boolean hasWrittenBytes(UpstreamRequest attempt) {
        return true;
    }

    @Override
    public void suppressIfUnwritten(UpstreamRequest attempt) {
        // nothing is under way
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
        // nothing is under way
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        // there are no connections
    }
}
