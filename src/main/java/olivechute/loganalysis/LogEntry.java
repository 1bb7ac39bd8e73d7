package olivechute.loganalysis;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A parsed line of a node's debug log in text format; anything before the time of day is skipped. Times are
 * microseconds, {@code atUs} since midnight.
 */
sealed interface LogEntry {
    long atUs();

    /** An attempt ended. {@code acceptedAfterUs} is negative if the endpoint did not accept it. */
    record AttemptEnded(long atUs, String request, String endpoint, String outcome, long tookUs, long acceptedAfterUs)
            implements LogEntry {
        long sentAtUs() {
            return atUs - tookUs;
        }
    }

    /** A request was rejected. {@code lastOutcome} is the outcome of its last attempt. */
    record RequestRejected(long atUs, String lastOutcome) implements LogEntry {}

    /** A connection to an endpoint was made. */
    record EndpointConnected(long atUs, String endpoint) implements LogEntry {}

    /** An endpoint in an endpoint list. {@code startedUs} is Unix time in microseconds, 0 for long ago. */
    record EndpointListed(long atUs, String endpoint, String state, long startedUs) implements LogEntry {}

    /** A call to discovery began. */
    record DiscoveryCalled(long atUs) implements LogEntry {}

    /** A call to discovery failed. */
    record DiscoveryCallFailed(long atUs) implements LogEntry {}

    /** Parses a line; returns null for one that is not counted. */
    static LogEntry parse(String line) {
        Matcher matcher = Form.LINE.matcher(line);
        if (!matcher.find()) {
            return null;
        }
        long atUs = ((Long.parseLong(matcher.group(1)) * 60 + Long.parseLong(matcher.group(2))) * 60
                                + Long.parseLong(matcher.group(3)))
                        * 1_000_000
                + Long.parseLong(matcher.group(4)) * 1000;
        String text = matcher.group(5);
        if ((matcher = Form.ENDED.matcher(text)).matches()) {
            return new AttemptEnded(
                    atUs,
                    matcher.group(1),
                    matcher.group(2),
                    matcher.group(3),
                    Long.parseLong(matcher.group(4)),
                    Long.parseLong(matcher.group(5)));
        } else if ((matcher = Form.REJECTED.matcher(text)).matches()) {
            return new RequestRejected(atUs, matcher.group(1));
        } else if ((matcher = Form.CONNECTED.matcher(text)).matches()) {
            return new EndpointConnected(atUs, matcher.group(1));
        } else if ((matcher = Form.LISTED.matcher(text)).matches()) {
            return new EndpointListed(atUs, matcher.group(1), matcher.group(2), Long.parseLong(matcher.group(3)));
        } else if ((matcher = Form.DISCOVERY_CALLED.matcher(text)).matches()) {
            return new DiscoveryCalled(atUs);
        }
        return (matcher = Form.DISCOVERY_CALL_FAILED.matcher(text)).matches() ? new DiscoveryCallFailed(atUs) : null;
    }

    /**
     * Patterns of the lines written by {@code log.RequestLogFields}, {@code proxy.RequestDispatcher}, {@code upstream}
     * and {@code discovery}.
     */
    final class Form {
        static final Pattern LINE = Pattern.compile("(\\d\\d):(\\d\\d):(\\d\\d)\\.(\\d{3}) [A-Z]+ +\\w+ (.*)");
        static final Pattern ENDED = Pattern.compile(
                "request (\\S+) attempt \\d+ at (\\S+): (\\w+) after (\\d+) us, accepted after (-?\\d+) us");
        static final Pattern REJECTED =
                Pattern.compile("request \\S+ rejected after \\d+ us, \\d+ attempts, last (\\w+)");
        static final Pattern CONNECTED = Pattern.compile("endpoint (\\S+) connected in \\d+ us");
        static final Pattern LISTED = Pattern.compile("endpoint (\\S+) (\\w+) in \\S+, a \\S+, started (\\d+)");
        static final Pattern DISCOVERY_CALLED = Pattern.compile("discovery \\S+: asked from -?\\d+");
        static final Pattern DISCOVERY_CALL_FAILED =
                Pattern.compile("discovery \\S+: (?:answered \\d+|connection ended|.* timed out|Connection .*)");

        private Form() {}
    }
}
