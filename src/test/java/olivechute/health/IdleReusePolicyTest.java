package olivechute.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class IdleReusePolicyTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;

    @Test
    public void everyIdleTimeIsReusableWhileNothingBreaks() {
        IdleReusePolicy policy = new IdleReusePolicy();
        for (int i = 0; i < 100; i++) {
            policy.onReuse(i * S, i * 40L * MS, false);
        }
        assertEquals(policy.maxIdleUs(100 * S), Long.MAX_VALUE);
    }

    @Test
    public void maxIdleTimeIsLearnedAndDecays() {
        IdleReusePolicy policy = new IdleReusePolicy();
        long nowUs = 0;
        for (int i = 0; i < 40; i++) {
            nowUs += 50 * MS;
            long idleUs = i % 2 == 0 ? 60 * MS : 300 * MS;
            policy.onReuse(nowUs, idleUs, idleUs > 110 * MS);
        }
        assertEquals(policy.maxIdleUs(nowUs), 200 * MS);
        assertTrue(policy.brokenFraction(nowUs, 300 * MS) > 0.9);
        assertEquals(
                policy.maxIdleUs(nowUs + 20 * S), Long.MAX_VALUE, "idle connections are tried again after a while");
    }

    @Test
    public void connectionsAreReusedWhileHalfOfThemBreak() {
        IdleReusePolicy policy = new IdleReusePolicy();
        SplittableRandom random = new SplittableRandom(7);
        int reusableCount = 0;
        for (int i = 1; i <= 1000; i++) {
            policy.onReuse(i * 20L * MS, 300 * MS, random.nextBoolean());
            reusableCount += policy.maxIdleUs(i * 20L * MS) > 300 * MS ? 1 : 0;
        }
        assertTrue(reusableCount > 500, reusableCount + " of 1000");
    }
}
