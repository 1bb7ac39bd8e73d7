package olivechute.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import olivechute.rig.Program;
import org.junit.jupiter.api.Test;

/** The replica that leads falls, or stands still past its term and wakes, in the middle of a change: another goes on, none repeats. */
class LeadLostIT extends FleetIT {
    private static final Duration SOON_LED = Duration.ofSeconds(20);

    private final Map<String, Long> marks = new HashMap<>();

    /** Once the first node has been told to end, the change has begun. */
    private void begin() {
        fleet.proposeProgram("v2", versions.equal());
        fleet.nodes().clients().awaitReady(ready -> ready.containsValue(false), SOON);
    }

    private void awaitNewLead(String old) {
        for (var replica : fleet.replicas().entrySet()) {
            if (!replica.getKey().equals(old)) {
                replica.getValue().awaitLine("replica " + replica.getKey() + " (leads term|follows (?!" + old + ")\\w)",
                    marks.get(replica.getKey()), SOON_LED);
            }
        }
    }

    private void mark() {
        fleet.replicas().forEach((id, replica) -> marks.put(id, replica.mark()));
    }

    @Test
    void itIsKilled() {
        begin();
        String lead = fleet.lead();
        mark();
        fleet.replicas().get(lead).kill();
        awaitNewLead(lead);
        assertEnds("DONE", "v2");
        assertKept(1);
    }

    @Test
    void itStandsStillPastItsTermAndWakes() {
        begin();
        String lead = fleet.lead();
        Program still = fleet.replicas().get(lead);
        mark();
        still.pause();
        awaitNewLead(lead);
        still.resume();
        assertEnds("DONE", "v2");
        assertKept(1);
    }
}
