package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import olivechute.rig.Fleet;
import olivechute.rig.TestProcess;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests concurrent operators, and what they may do to a change in progress. */
@Tag("long")
class ConcurrentChangesIT extends FleetIT {
    private static final int ROUNDS = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(20);

    /** Stages long enough that an operator's call reaches the phase that it is meant for. */
    @Override
    Fleet.Stages stages() {
        return new Fleet.Stages(List.of(1, 4), Duration.ofSeconds(5), Duration.ofSeconds(20), 20, 1);
    }

    @Test
    void oneOfTwoConcurrentProposalsIsAcceptedAndCanBeStopped() {
        String program = versions.equivalent().toString();
        for (int round = 1; round <= ROUNDS; round++) {
            List<String> ids = List.of("first-" + round, "second-" + round);
            try (TestProcess first = fleet.startCall("propose", "--id", ids.get(0), "--program", program);
                    TestProcess second = fleet.startCall("propose", "--id", ids.get(1), "--program", program)) {
                List<TestProcess> calls = List.of(first, second);
                List<Integer> exitCodes =
                        calls.stream().map(call -> call.awaitExit(CALL_TIMEOUT)).toList();
                calls.forEach(TestProcess::awaitOutputEnd);
                assertEquals(List.of(0, 1), exitCodes.stream().sorted().toList(), first.lines() + " " + second.lines());
                int accepted = exitCodes.indexOf(0);
                assertTrue(
                        calls.get(accepted).lines().contains("phase: PROPOSED"),
                        calls.get(accepted).lines().toString());
                String rejection = "CHANGE_UNDER_WAY: change " + ids.get(accepted) + " (";
                assertTrue(
                        calls.get(1 - accepted).lines().stream().anyMatch(line -> line.startsWith(rejection)),
                        calls.get(1 - accepted).lines().toString());
                List<String> stopped = fleet.call("stop");
                assertTrue(
                        stopped.containsAll(List.of("change: " + ids.get(accepted), "phase: STOPPED")),
                        stopped.toString());
            }
            assertChangeEnds("STOPPED", Fleet.BASE);
        }
        assertInvariantsHold(0); // no node was changed
    }

    @Test
    void changeStoppedWhileWatchingIsRolledBack() {
        fleet.proposeProgram("v2", versions.equivalent());
        fleet.awaitPhase("WATCHING", CHANGE_TIMEOUT);
        List<String> stopped = fleet.call("stop");
        assertTrue(stopped.containsAll(List.of("phase: ROLLING_BACK", "stage: 1 of 2")), stopped.toString());
        List<String> shown = assertChangeEnds("STOPPED", Fleet.BASE);
        assertTrue(shown.contains("reason: stopped by an operator"), shown.toString());
        assertInvariantsHold(1);
    }

    @Test
    void pausedChangeContinuesWhenResumed() {
        fleet.proposeProgram("v2", versions.equivalent());
        fleet.awaitPhase("WATCHING", CHANGE_TIMEOUT);
        List<String> paused = fleet.call("pause");
        assertTrue(paused.containsAll(List.of("phase: PAUSED", "stage: 1 of 2")), paused.toString());
        assertNoNodeDrains(8 * JOBS_PER_SECOND); // longer than the minimum time of the stage
        List<String> shown = fleet.call("show");
        assertTrue(shown.contains("phase: PAUSED"), shown.toString());
        assertTrue(shown.stream().anyMatch(line -> line.startsWith("nodes: 1 ready at v2: ")), shown.toString());
        fleet.call("resume");
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(1);
    }
}
