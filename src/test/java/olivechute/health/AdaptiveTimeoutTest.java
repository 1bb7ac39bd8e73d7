package olivechute.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class AdaptiveTimeoutTest {
    @Test
    public void timeoutFollowsTheSamplesWithinItsBounds() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(300_000, 160_000, 1_000_000);
        assertEquals(timeout.timeoutUs(), 300_000);
        for (int i = 0; i < 50; i++) {
            timeout.addSample(i % 2 == 0 ? 100_000 : 300_000);
        }
        assertTrue(timeout.timeoutUs() > 550_000 && timeout.timeoutUs() < 700_000, timeout.timeoutUs() + " us");
        timeout.addSample(60_000_000);
        assertEquals(timeout.timeoutUs(), 1_000_000);
    }

    @Test
    public void initialTimeoutHoldsWithFewerThanEightSamples() {
        AdaptiveTimeout timeout = new AdaptiveTimeout(300_000, 160_000, 1_000_000);
        for (int i = 0; i < 7; i++) {
            timeout.addSample(1000);
            assertEquals(timeout.timeoutUs(), 300_000);
        }
        timeout.addSample(1000);
        assertEquals(timeout.timeoutUs(), 160_000);
    }

    @Test
    public void contradictoryBoundsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new AdaptiveTimeout(1, 2, 3));
        assertThrows(IllegalArgumentException.class, () -> new AdaptiveTimeout(4, 2, 3));
    }
}
