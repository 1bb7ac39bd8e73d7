package olivechute.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import olivechute.rig.FleetInvariants.Rule;
import org.junit.jupiter.api.Test;

/** Tests that a valid history passes and that each injected violation is found, wherever it occurs. */
class FleetInvariantsTest {
    private static final int JOBS = 200;

    private final EventLedger ledger = new EventLedger();

    private static EventLedger.Job job(int n, EventLedger.Outcome end) {
        return new EventLedger.Job(
                "j" + n, n % 2 == 0 ? "sign" : "verify", "k" + n, "n" + n % 4, 10L * n, 10L * n + 25, end, 200);
    }

    private static EventLedger.Execution run(int n, boolean done) {
        return new EventLedger.Execution(
                "w1", "n" + n % 4, "j" + n, n % 2 == 0 ? "sign" : "verify", "k" + n, 10L * n + 1, 10L * n + 20, done);
    }

    /**
     * Adds jobs that are served, rejected and failed, a cancelled attempt beside a completed one, and a killed node
     * with its jobs.
     */
    private void addValidHistory() {
        for (int n = 0; n < JOBS; n++) {
            EventLedger.Outcome end = n % 10 == 3
                    ? EventLedger.Outcome.REFUSED
                    : n % 10 == 4 ? EventLedger.Outcome.FAILED : EventLedger.Outcome.SERVED;
            if (n == 41) {
                end = EventLedger.Outcome.LOST;
                ledger.addOutage("n1", 415, 500);
            }
            ledger.add(job(n, end));
            if (end == EventLedger.Outcome.SERVED) {
                ledger.add(run(n, false));
                ledger.add(run(n, true));
                ledger.add(new EventLedger.Answer("j" + n, "n" + n % 4, 10L * n + 25));
            }
        }
        ledger.add(run(43, true)); // verify may run twice
        ledger.add(run(43, true));
    }

    private void addProbes(int node, int notReadyFrom, int notReadyTo) {
        for (int t = 0; t < 1000; t += 20) {
            ledger.add(new EventLedger.ReadinessProbe("n" + node, t, t + 3, t < notReadyFrom || t >= notReadyTo));
        }
    }

    private List<Rule> violatedRules(int maxUnavailable) {
        return FleetInvariants.check(ledger, maxUnavailable).stream()
                .map(FleetInvariants.Violation::rule)
                .toList();
    }

    @Test
    void passesWhatKeepsTheRules() {
        addValidHistory();
        addProbes(0, 100, 300);
        addProbes(1, 300, 500);
        addProbes(2, 490, 530); // its first failed probe comes after the last one of the previous node
        addProbes(4, 0, 290); // not ready before
        addProbes(3, 700, 720); // a single failed probe shows no duration
        assertEquals(List.of(), violatedRules(1));
    }

    @Test
    void findsALostJob() {
        addValidHistory();
        ledger.add(job(77, EventLedger.Outcome.LOST));
        assertEquals(List.of(Rule.LOST), violatedRules(1));
    }

    @Test
    void excusesOnlyTheNodeThatWasStoppedAndOnlyThen() {
        addValidHistory();
        ledger.addOutage("n1", 0, 769);
        ledger.addOutage("n1", 796, 900);
        ledger.addOutage("n2", 770, 795);
        ledger.add(job(77, EventLedger.Outcome.LOST));
        assertEquals(List.of(Rule.LOST), violatedRules(1));
        ledger.addOutage("n1", 795, 796);
        assertEquals(List.of(), violatedRules(1));
    }

    @Test
    void findsASecondAnswer() {
        addValidHistory();
        ledger.add(new EventLedger.Answer("j120", "n3", 9999));
        assertEquals(List.of(Rule.ANSWERED_TWICE), violatedRules(1));
    }

    @Test
    void findsASecondRunOfSignAtAnyWorker() {
        addValidHistory();
        ledger.add(new EventLedger.Execution("w7", "n2", "another-id", "sign", "k50", 1, 2, true));
        assertEquals(List.of(Rule.SIGNED_TWICE), violatedRules(1));
    }

    @Test
    void findsTooManyAwayOnceForEachTime() {
        addProbes(0, 100, 300);
        addProbes(1, 200, 400);
        addProbes(2, 240, 300);
        addProbes(3, 600, 800);
        assertEquals(List.of(Rule.TOO_MANY_AWAY), violatedRules(1));
        assertEquals(List.of(Rule.TOO_MANY_AWAY), violatedRules(2));
        assertEquals(List.of(), violatedRules(3));
        assertEquals(List.of(), violatedRules(-1));
        addProbes(4, 700, 760);
        assertEquals(List.of(Rule.TOO_MANY_AWAY, Rule.TOO_MANY_AWAY), violatedRules(1));
        assertEquals(List.of(), violatedRules(3));
    }

    @Test
    void findsWhateverOrderTheLooksCameIn() {
        long seed = 20261202;
        addProbes(0, 100, 300);
        addProbes(1, 200, 400);
        List<EventLedger.ReadinessProbe> mixed = new ArrayList<>(ledger.probes());
        Collections.shuffle(mixed, new Random(seed));
        EventLedger other = new EventLedger();
        mixed.forEach(other::add);
        assertEquals(
                List.of(Rule.TOO_MANY_AWAY),
                FleetInvariants.check(other, 1).stream()
                        .map(FleetInvariants.Violation::rule)
                        .toList(),
                "seed " + seed);
    }
}
