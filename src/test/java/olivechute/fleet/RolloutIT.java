package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import olivechute.rig.EventLedger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests that a harmless change is rolled out to all nodes, with one node unavailable at a time, and that no job is
 * lost.
 */
class RolloutIT extends FleetIT {
    private void assertDone(String version) {
        assertChangeEnds("DONE", version);
        assertInvariantsHold(1);
        assertTrue(fleet.nodes().ledger().count("sign", EventLedger.Outcome.SERVED) > 200);
    }

    @Tag("long")
    @Test
    void equivalentProgramIsRolledOutToAllNodes() {
        fleet.proposeProgram("v2", versions.equivalent());
        assertDone("v2");
    }

    @Test
    void settingsAreRolledOutToAllNodes() {
        fleet.proposeSettings("s2", "settings.ceilings.conn_idle = 4.0");
        assertDone("s2");
    }
}
