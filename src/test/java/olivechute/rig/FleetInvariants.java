package olivechute.rig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the invariants of a fleet during changes against the ledger. Reports only violations that the entries prove: a
 * node counts as unavailable from the answer to the first to the sending of the last of consecutive probes that found
 * it not ready, and only once a probe has found it ready.
 */
public final class FleetInvariants {
    /** An invariant of the fleet. */
    public enum Rule {
        /** Each submitted job gets exactly one final response, unless the test stopped its node meanwhile. */
        LOST,
        /** No job gets two responses. */
        ANSWERED_TWICE,
        /** No job of class sign completes twice. */
        SIGNED_TWICE,
        /** No more nodes are unavailable at once than allowed. */
        TOO_MANY_AWAY
    }

    /** A violated invariant and the entries that show it. */
    public record Violation(Rule rule, String evidence) {}

    private FleetInvariants() {}

    /** Returns all violations; {@code maxUnavailable} nodes may be unavailable at once, negative to skip that check. */
    public static List<Violation> check(EventLedger ledger, int maxUnavailable) {
        List<Violation> found = new ArrayList<>();
        checkLost(ledger, found);
        checkAnsweredTwice(ledger, found);
        checkSignedTwice(ledger, found);
        if (maxUnavailable >= 0) {
            checkUnavailableNodes(ledger, maxUnavailable, found);
        }
        return found;
    }

    private static void checkLost(EventLedger ledger, List<Violation> found) {
        Map<String, List<EventLedger.Outage>> outagesByNode = new HashMap<>();
        ledger.outages()
                .forEach(e -> outagesByNode
                        .computeIfAbsent(e.node(), n -> new ArrayList<>())
                        .add(e));
        for (EventLedger.Job job : ledger.jobs()) {
            boolean duringOutage = outagesByNode.getOrDefault(job.node(), List.of()).stream()
                    .anyMatch(e -> e.from() <= job.ended() && e.to() >= job.sent());
            if (job.end() == EventLedger.Outcome.LOST && !duringOutage) {
                found.add(new Violation(Rule.LOST, job.toString()));
            }
        }
    }

    private static void checkAnsweredTwice(EventLedger ledger, List<Violation> found) {
        Map<String, EventLedger.Answer> first = new HashMap<>();
        for (EventLedger.Answer answer : ledger.answers()) {
            EventLedger.Answer before = first.putIfAbsent(answer.id(), answer);
            if (before != null) {
                found.add(new Violation(Rule.ANSWERED_TWICE, before + " and " + answer));
            }
        }
    }

    private static void checkSignedTwice(EventLedger ledger, List<Violation> found) {
        Map<String, EventLedger.Execution> first = new HashMap<>();
        for (EventLedger.Execution run : ledger.executions()) {
            if (run.requestClass().equals("sign") && run.done()) {
                EventLedger.Execution before = first.putIfAbsent(run.key(), run);
                if (before != null) {
                    found.add(new Violation(Rule.SIGNED_TWICE, before + " and " + run));
                }
            }
        }
    }

    private static void checkUnavailableNodes(EventLedger ledger, int maxUnavailable, List<Violation> found) {
        Map<String, List<EventLedger.ReadinessProbe>> byNode = new LinkedHashMap<>();
        ledger.probes()
                .forEach(probe -> byNode.computeIfAbsent(probe.node(), n -> new ArrayList<>())
                        .add(probe));
        TreeMap<Long, List<String>> steps =
                new TreeMap<>(); // by time: "+node" where its unavailability begins, "-node" where it ends
        byNode.forEach((node, probes) -> {
            probes.sort(Comparator.comparingLong(EventLedger.ReadinessProbe::sent));
            int first = 0;
            while (first < probes.size() && !probes.get(first).ready()) {
                first++; // not unavailable: it has not been ready yet
            }
            for (int i = first; i < probes.size(); i++) {
                int last = i;
                while (last < probes.size() && !probes.get(last).ready()) {
                    last++;
                }
                if (last - i >= 2
                        && probes.get(i).answered() < probes.get(last - 1).sent()) {
                    steps.computeIfAbsent(probes.get(i).answered(), t -> new ArrayList<>())
                            .add("+" + node);
                    steps.computeIfAbsent(probes.get(last - 1).sent(), t -> new ArrayList<>())
                            .add(0, "-" + node);
                }
                i = Math.max(i, last);
            }
        });
        List<String> unavailable = new ArrayList<>();
        boolean exceeded = false;
        for (var step : steps.entrySet()) {
            for (String entry : step.getValue()) {
                if (entry.startsWith("-")) {
                    unavailable.remove(entry.substring(1));
                } else {
                    unavailable.add(entry.substring(1));
                }
            }
            if (unavailable.size() > maxUnavailable && !exceeded) {
                found.add(new Violation(
                        Rule.TOO_MANY_AWAY, unavailable + " at " + step.getKey() + ", " + maxUnavailable + " allowed"));
            }
            exceeded = unavailable.size() > maxUnavailable;
        }
    }
}
