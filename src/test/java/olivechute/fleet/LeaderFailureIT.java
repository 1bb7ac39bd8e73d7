package olivechute.fleet;

import olivechute.rig.TestProcess;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * The replica that leads falls, or stands still past its term and wakes, in the middle of a change: another goes on,
 * none repeats.
 */
class LeaderFailureIT extends FleetIT {
    @Test
    void leaderIsKilled() {
        startChange();
        String lead = fleet.leader();
        markReplicas();
        fleet.replicas().get(lead).kill();
        awaitNewLeader(lead);
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(1);
    }

    @Tag("long")
    @Test
    void leaderIsPausedPastItsTerm() {
        startChange();
        String lead = fleet.leader();
        TestProcess paused = fleet.replicas().get(lead);
        markReplicas();
        paused.pause();
        awaitNewLeader(lead);
        paused.resume();
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(1);
    }
}
