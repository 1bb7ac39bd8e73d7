package olivechute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import olivechute.rig.Fleet;
import olivechute.rig.Ledger;
import olivechute.rig.Recipe;
import olivechute.rig.Versions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A change that does no harm goes through four nodes on two machines under load, one node away at a time, and nothing is lost. */
@Timeout(150)
class RolloutIT {
    private static final long SEED = 20261204;
    private static final int RATE = 120;
    private static final Duration THROUGH = Duration.ofSeconds(80);

    private final Versions versions = new Versions(Recipe.JAR);
    private final Fleet fleet = new Fleet(2, 2, SEED);

    @AfterEach
    void close() {
        System.out.println("seed " + SEED + ", jobs " + fleet.nodes().ledger().counts());
        fleet.close();
        versions.close();
    }

    private void load() {
        fleet.nodes().clients().load(RATE);
        fleet.nodes().clients().awaitServed(100, 20_000);
    }

    private void assertDone(String version) {
        List<String> shown = fleet.awaitPhase("DONE", THROUGH);
        assertTrue(shown.contains("base: " + version), shown.toString());
        assertTrue(shown.contains("nodes: 4 ready at " + version + ": n0 n1 n2 n3"), shown.toString());
        assertEquals(List.of(), fleet.nodes().finish(1));
        assertTrue(fleet.nodes().ledger().count("sign", Ledger.End.SERVED) > 200);
    }

    @Test
    void anEqualProgramGoesThroughAllNodes() {
        load();
        fleet.proposeProgram("v2", versions.equal());
        assertDone("v2");
    }

    @Test
    void settingsGoThroughAllNodes() {
        load();
        fleet.proposeSettings("s2", "settings.ceilings.conn_idle = 4.0");
        assertDone("s2");
    }
}
