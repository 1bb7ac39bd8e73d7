package olivechute.fleet;

import olivechute.rig.EventLedger;
import olivechute.rig.Fleet;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests that a harmful change stops by itself and that all nodes are rolled back to the old version. */
class BadVersionIT extends FleetIT {
    @Tag("long")
    @Test
    void versionThatRejectsATenthOfSign() {
        fleet.proposeProgram("refuses", versions.rejectingTenthOfSign());
        assertChangeEnds("STOPPED", Fleet.BASE);
        assertInvariantsHold(1);
    }

    @Test
    void versionThatCrashes() {
        long begun = EventLedger.now();
        fleet.proposeProgram("crashes", versions.crashesAfter(1000));
        assertChangeEnds("STOPPED", Fleet.BASE);
        fleet.nodes().names().forEach(node -> fleet.nodes().ledger().addOutage(node, begun, EventLedger.now()));
        assertInvariantsHold(1);
    }

    @Tag("long")
    @Test
    void versionThatIsNeverReady() {
        fleet.proposeProgram("unready", versions.neverReady());
        assertChangeEnds("STOPPED", Fleet.BASE);
        assertInvariantsHold(1);
    }

    @Tag("long")
    @Test
    void settingsThatNodesReject() {
        fleet.proposeSettings("refused", "settings.ceilings.dial_timeout = never");
        assertChangeEnds("STOPPED", Fleet.BASE);
        assertInvariantsHold(1);
    }
}
