package olivechute.fleet;

import olivechute.rig.TestProcess;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests a leader that is killed, or paused past its term and resumed, during a change: another replica continues, and
 * no step is repeated.
 */
class LeaderFailureIT extends FleetIT {
    @Test
    void leaderIsKilled() {
        startChange();
        String leader = fleet.leader();
        markReplicas();
        fleet.replicas().get(leader).kill();
        awaitNewLeader(leader);
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(1);
    }

    @Tag("long")
    @Test
    void leaderIsPausedPastItsTerm() {
        startChange();
        String leader = fleet.leader();
        TestProcess paused = fleet.replicas().get(leader);
        markReplicas();
        paused.pause();
        awaitNewLeader(leader);
        paused.resume();
        assertChangeEnds("DONE", "v2");
        assertInvariantsHold(1);
    }
}
