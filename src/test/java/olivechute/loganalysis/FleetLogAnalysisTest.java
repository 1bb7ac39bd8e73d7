package olivechute.loganalysis;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;

/** Checks every line of the report on hand-written logs of two nodes. */
public class FleetLogAnalysisTest {
    private static final List<String> N0 = List.of(
            "2.480 00:00:10.000 DEBUG EndpointListWatcher discovery /10.2.0.1:8500: asked from -1",
            "00:00:10.020 WARN EndpointListWatcher discovery /10.2.0.1:8500: answered 503",
            "00:00:10.050 INFO Node n0 listens on /10.0.0.1:7070",
            "00:00:10.060 DEBUG Dispatcher endpoint s1 ACTIVE in a, a k, started 9500000",
            "00:00:10.061 DEBUG Dispatcher endpoint s2 ACTIVE in a, a k, started 0",
            "00:00:10.100 DEBUG UpstreamConnection endpoint s1 connected in 900 us",
            "00:00:10.300 DEBUG RequestLogFields request aa attempt 0 at s1: ACCEPT_TIMEOUT after 200000 us, accepted after -1 us",
            "00:00:10.500 DEBUG RequestLogFields request aa attempt 1 at s2: OK after 150000 us, accepted after 800 us",
            "00:00:10.600 DEBUG RequestLogFields request ab attempt 0 at s1: CONNECT_FAILED after 250000 us, accepted after -1 us",
            "00:00:10.601 DEBUG RequestLogFields request ab rejected after 260000 us, 1 attempts, last CONNECT_FAILED",
            "00:00:15.601 DEBUG RequestLogFields request ac attempt 0 at s2: TIMEOUT after 4900000 us, accepted after 900 us",
            "00:00:15.602 DEBUG RequestLogFields request ac attempt 1 at s2: TIM");
    private static final List<String> N1 = List.of(
            "00:00:10.010 DEBUG EndpointListWatcher discovery /10.2.0.1:8500: asked from 41",
            "00:00:10.110 DEBUG EndpointListWatcher discovery /10.2.0.1:8500: asked from 41",
            "00:00:10.070 DEBUG Dispatcher endpoint s1 ACTIVE in a, a k, started 9500000",
            "00:00:10.400 DEBUG UpstreamConnection endpoint s1 connected in 900 us",
            "00:00:10.480 DEBUG RequestLogFields request ba attempt 0 at s1: ERROR after 50000 us, accepted after 700 us",
            "00:00:10.490 DEBUG RequestLogFields request bb rejected after 90000 us, 0 attempts, last none");

    @Test
    public void countsAreTakenAcrossAllNodes() {
        FleetLogAnalysis analysis = new FleetLogAnalysis();
        N0.stream().map(LogEntry::parse).filter(l -> l != null).forEach(l -> analysis.add("n0", l));
        N1.stream().map(LogEntry::parse).filter(l -> l != null).forEach(l -> analysis.add("n1", l));
        assertEquals(
                analysis.report(),
                List.of(
                        "2 nodes, 4 requests sent to endpoints, 5 attempts",
                        "attempts by outcome: {ACCEPT_TIMEOUT=1, CONNECT_FAILED=1, ERROR=1, OK=1, TIMEOUT=1}",
                        "requests by attempts: {1=3, 2=1}",
                        "accepted, then timed out: 1",
                        "rejections by last outcome: {CONNECT_FAILED=1, none=1}",
                        "discovery: calls 3, worst tenth of a second 2; failed 1, worst tenth 1",
                        "dials: 2 made, worst second at one endpoint 2",
                        "endpoints started: 1, attempts in the first second after listing: mean 3.0, at most 3",
                        "errors: 1 at 1 endpoints, by 1 pairs of node and endpoint, worst pair 1, worst endpoint 1",
                        "silences: 1 at 1 endpoints, by 1 pairs of node and endpoint, worst pair 1, worst endpoint 1",
                        "failed dials: 1 at 1 endpoints, by 1 pairs of node and endpoint, worst pair 1, worst endpoint 1"));
    }

    @Test
    public void truncatedAndOtherLinesAreIgnored() {
        assertNull(LogEntry.parse(N0.get(N0.size() - 1)));
        assertNull(LogEntry.parse(N0.get(2)));
        assertNull(LogEntry.parse(""));
    }
}
