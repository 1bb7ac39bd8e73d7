package olivechute.loganalysis;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Aggregates the logs of a fleet's nodes into counts that no single node can provide: the combined load on a shared
 * service at its peak, and how often each node met a failure that another had already seen. Used by
 * {@link LogAnalysisCommand}, on one thread. Times are microseconds.
 */
final class FleetLogAnalysis {
    private static final long TENTH_SECOND_US = 100_000;
    private static final long SECOND_US = 1_000_000;

    private record NodeEndpoint(String node, String endpoint) {}

    private record SentAttempt(long atUs, String endpoint) {}

    private final Set<String> nodes = new HashSet<>();
    private final Map<String, Integer> attemptsByOutcome = new TreeMap<>();
    private final TreeMap<Long, Integer> discoveryCalls = new TreeMap<>(); // by tenth of a second, like the next map
    private final TreeMap<Long, Integer> failedDiscoveryCalls = new TreeMap<>();
    private final Map<String, Integer> rejectionsByLastOutcome = new TreeMap<>();
    private final Map<String, TreeMap<Long, Integer>> connectsByEndpoint = new HashMap<>(); // by endpoint and second
    private final Map<NodeEndpoint, List<LogEntry.AttemptEnded>> attemptEnds = new HashMap<>();
    private final Map<String, Integer> attemptsByRequest = new HashMap<>();
    private final Map<String, Long> firstListedUs =
            new HashMap<>(); // when a node first listed each endpoint that has a start time, by name and start time
    private final List<SentAttempt> sentAttempts = new ArrayList<>();
    private int acceptedButTimedOut;

    void add(String node, LogEntry entry) {
        nodes.add(node);
        if (entry instanceof LogEntry.AttemptEnded attempt) {
            attemptsByOutcome.merge(attempt.outcome(), 1, Integer::sum);
            attemptsByRequest.merge(attempt.request(), 1, Integer::sum);
            acceptedButTimedOut += attempt.outcome().equals("TIMEOUT") && attempt.acceptedAfterUs() >= 0 ? 1 : 0;
            attemptEnds
                    .computeIfAbsent(new NodeEndpoint(node, attempt.endpoint()), key -> new ArrayList<>())
                    .add(attempt);
            sentAttempts.add(new SentAttempt(attempt.sentAtUs(), attempt.endpoint()));
        } else if (entry instanceof LogEntry.RequestRejected rejection) {
            rejectionsByLastOutcome.merge(rejection.lastOutcome(), 1, Integer::sum);
        } else if (entry instanceof LogEntry.EndpointConnected connect) {
            connectsByEndpoint
                    .computeIfAbsent(connect.endpoint(), key -> new TreeMap<>())
                    .merge(connect.atUs() / SECOND_US, 1, Integer::sum);
        } else if (entry instanceof LogEntry.EndpointListed listed
                && listed.state().equals("ACTIVE")
                && listed.startedUs() > 0) {
            firstListedUs.merge(listed.endpoint() + " " + listed.startedUs(), listed.atUs(), Math::min);
        } else if (entry instanceof LogEntry.DiscoveryCalled) {
            discoveryCalls.merge(entry.atUs() / TENTH_SECOND_US, 1, Integer::sum);
        } else if (entry instanceof LogEntry.DiscoveryCallFailed) {
            failedDiscoveryCalls.merge(entry.atUs() / TENTH_SECOND_US, 1, Integer::sum);
        }
    }

    /** Returns the counts, one line each. */
    List<String> report() {
        List<String> lines = new ArrayList<>();
        lines.add(nodes.size() + " nodes, " + attemptsByRequest.size() + " requests sent to endpoints, "
                + sum(attemptsByOutcome) + " attempts");
        lines.add("attempts by outcome: " + attemptsByOutcome);
        lines.add("requests by attempts: " + frequencies(attemptsByRequest.values()));
        lines.add("accepted, then timed out: " + acceptedButTimedOut);
        lines.add("rejections by last outcome: " + rejectionsByLastOutcome);
        lines.add("discovery: calls " + sum(discoveryCalls) + ", worst tenth of a second " + max(discoveryCalls)
                + "; failed " + sum(failedDiscoveryCalls) + ", worst tenth " + max(failedDiscoveryCalls));
        lines.add("dials: "
                + connectsByEndpoint.values().stream()
                        .mapToInt(FleetLogAnalysis::sum)
                        .sum()
                + " made, worst second at one endpoint "
                + connectsByEndpoint.values().stream()
                        .mapToInt(FleetLogAnalysis::max)
                        .max()
                        .orElse(0));
        lines.add(startedEndpointsLine());
        lines.add(failuresLine("errors", Set.of("ERROR")));
        lines.add(failuresLine("silences", Set.of("ACCEPT_TIMEOUT", "CANCEL_UNCONFIRMED")));
        lines.add(failuresLine("failed dials", Set.of("CONNECT_FAILED")));
        return lines;
    }

    /**
     * Reports the endpoints that started while the logs were written, and how many attempts they received in the second
     * after a node first listed them.
     */
    private String startedEndpointsLine() {
        int max = 0;
        int total = 0;
        for (Map.Entry<String, Long> e : firstListedUs.entrySet()) {
            String endpoint = e.getKey().substring(0, e.getKey().indexOf(' '));
            int received = (int) sentAttempts.stream()
                    .filter(s -> s.endpoint().equals(endpoint)
                            && s.atUs() >= e.getValue()
                            && s.atUs() < e.getValue() + SECOND_US)
                    .count();
            max = Math.max(max, received);
            total += received;
        }
        return String.format(
                Locale.ROOT,
                "endpoints started: %d, attempts in the first second after listing: mean %.1f, at most %d",
                firstListedUs.size(),
                firstListedUs.isEmpty() ? 0 : (double) total / firstListedUs.size(),
                max);
    }

    /**
     * Reports the attempts with these outcomes: how many, at how many endpoints, for how many pairs of node and
     * endpoint, and the most for one pair and for one endpoint.
     */
    private String failuresLine(String name, Set<String> outcomes) {
        Map<String, Integer> failuresByEndpoint = new HashMap<>();
        int pairs = 0;
        int maxPerPair = 0;
        for (Map.Entry<NodeEndpoint, List<LogEntry.AttemptEnded>> e : attemptEnds.entrySet()) {
            int failures = (int) e.getValue().stream()
                    .filter(end -> outcomes.contains(end.outcome()))
                    .count();
            if (failures > 0) {
                pairs++;
                maxPerPair = Math.max(maxPerPair, failures);
                failuresByEndpoint.merge(e.getKey().endpoint(), failures, Integer::sum);
            }
        }
        return name + ": " + sum(failuresByEndpoint) + " at " + failuresByEndpoint.size() + " endpoints, by " + pairs
                + " pairs of node and endpoint, worst pair " + maxPerPair + ", worst endpoint "
                + max(failuresByEndpoint);
    }

    private static Map<Integer, Integer> frequencies(Iterable<Integer> values) {
        Map<Integer, Integer> counts = new TreeMap<>();
        values.forEach(v -> counts.merge(v, 1, Integer::sum));
        return counts;
    }

    private static int sum(Map<?, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static int max(Map<?, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
