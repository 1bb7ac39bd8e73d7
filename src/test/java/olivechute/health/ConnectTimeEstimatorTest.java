package olivechute.health;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class ConnectTimeEstimatorTest {
    @Test
    public void extraTimeIsZeroUntilBothMediansAreKnown() {
        ConnectTimeEstimator estimator = new ConnectTimeEstimator();
        assertEquals(estimator.extraConnectTimeUs(), 0);
        estimator.addNewConnectionSample(80_000);
        assertEquals(estimator.extraConnectTimeUs(), 0);
        estimator.addReusedConnectionSample(20_000);
        assertEquals(estimator.extraConnectTimeUs(), 60_000);
    }

    @Test
    public void extraTimeIsNeverNegative() {
        ConnectTimeEstimator estimator = new ConnectTimeEstimator();
        estimator.addNewConnectionSample(300);
        estimator.addReusedConnectionSample(900);
        assertEquals(estimator.extraConnectTimeUs(), 0);
    }

    /** Some endpoints are unresponsive, and some connects are slow. */
    @Test
    public void occasionalOutliersDoNotMoveTheEstimate() {
        ConnectTimeEstimator estimator = new ConnectTimeEstimator();
        for (int i = 0; i < 30; i++) {
            estimator.addNewConnectionSample(i % 3 == 0 ? 1_500_000 : 80_000);
            estimator.addReusedConnectionSample(i % 4 == 0 ? 3_000_000 : 20_000);
            if (i > 3) {
                assertEquals(estimator.extraConnectTimeUs(), 60_000);
            }
        }
    }

    @Test
    public void oldSamplesAreDropped() {
        ConnectTimeEstimator estimator = new ConnectTimeEstimator();
        estimator.addReusedConnectionSample(20_000);
        for (int i = 0; i < 1000; i++) {
            estimator.addNewConnectionSample(80_000);
        }
        for (int i = 0; i < 8; i++) {
            estimator.addNewConnectionSample(30_000);
        }
        assertEquals(estimator.extraConnectTimeUs(), 10_000);
    }
}
