package olivechute.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import olivechute.endpointlist.EndpointListLease;
import olivechute.loadbalancing.AttemptOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the health of endpoints in virtual time. Class 0 is 'verify', class 1 is 'sign'. */
public class ConnectionHealthTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;

    private ConnectionHealth health;
    private long nowUs;

    @BeforeMethod
    public void listNineEndpoints() {
        nowUs = 100 * S;
        health = new ConnectionHealth(
                HealthSettings.DEFAULT, 2, List.of("t"), () -> 0.5, EndpointListLease.nonExpiring());
        for (int i = 0; i < 9; i++) {
            health.onListed("s" + i, 0);
        }
    }

    private void send(String endpoint, int classIndex) {
        health.onSend(nowUs, endpoint, classIndex, "t", true);
    }

    private void acceptAndServe(String endpoint, int classIndex) {
        send(endpoint, classIndex);
        health.onAccepted(endpoint, classIndex, 30 * MS);
        health.onEnd(nowUs, endpoint, classIndex, AttemptOutcome.OK, 100 * MS);
    }

    private void endUnaccepted(String endpoint, int classIndex, AttemptOutcome outcome) {
        send(endpoint, classIndex);
        health.onEnd(nowUs, endpoint, classIndex, outcome, -1);
    }

    private boolean admits(String endpoint, int classIndex) {
        return health.endpoint(endpoint).admits(nowUs, classIndex);
    }

    private String describe(String endpoint) {
        List<String> lines = new ArrayList<>();
        health.describeForLog(nowUs, (name, description) -> lines.add(name + ": " + description));
        return lines.stream()
                .filter(t -> t.startsWith(endpoint + ":"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void unacceptedClassIsEjectedForLongerEachTime() {
        acceptAndServe("s0", 0);
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        assertFalse(admits("s0", 1));
        assertTrue(admits("s0", 0), "the other class is still admitted");
        nowUs += 1 * S + 1;
        assertTrue(admits("s0", 1));
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        nowUs += 3 * S;
        assertFalse(admits("s0", 1));
        nowUs += 1 * S + 1;
        assertTrue(admits("s0", 1));
        acceptAndServe("s0", 0);
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        nowUs += 15 * S;
        assertFalse(admits("s0", 1), describe("s0"));
        assertTrue(describe("s0").contains("class 1 ejected for 1000 ms"), describe("s0"));
    }

    /**
     * As in the scenario zone+vast: an endpoint that is silent and cannot be connected to is ejected for all classes
     * after a single such attempt.
     */
    @Test
    public void unconfirmedCancellationEjectsTheEndpointForAllClasses() {
        acceptAndServe("s0", 0);
        endUnaccepted("s0", 0, AttemptOutcome.CANCEL_UNCONFIRMED);
        assertFalse(admits("s0", 0));
        assertFalse(admits("s0", 1));
        assertTrue(describe("s0").contains("silent and cannot be connected to"), describe("s0"));
        nowUs += 1 * S;
        assertTrue(admits("s0", 1));
    }

    @Test
    public void classOnProbationIsTriedByOneRequestAtATime() {
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        nowUs += 2 * S;
        assertTrue(admits("s0", 1));
        send("s0", 1);
        assertFalse(admits("s0", 1), "one request is waiting for its acceptance");
        health.onAccepted("s0", 1, 30 * MS);
        assertTrue(admits("s0", 1));
        send("s0", 1);
        assertTrue(admits("s0", 1), "off probation");
    }

    @Test
    public void occasionalAcceptTimeoutsDoNotProlongTheEjection() {
        for (int i = 0; i < 5; i++) {
            endUnaccepted("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
            nowUs += 2 * S;
            assertTrue(admits("s0", 0));
            acceptAndServe("s0", 0);
            acceptAndServe("s0", 0);
        }
    }

    @Test
    public void endpointThatAcceptsNothingIsEjectedAndReturnsWithAConcurrencyLimitOfOne() {
        endUnaccepted("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        endUnaccepted("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
        assertFalse(admits("s0", 0));
        assertFalse(admits("s0", 1));
        assertTrue(describe("s0").contains("3 accept timeouts in a row"), describe("s0"));
        nowUs += 5 * S;
        assertEquals(health.endpoint("s0").concurrencyLimit(), 1);
        acceptAndServe("s0", 0);
        assertEquals(health.endpoint("s0").concurrencyLimit(), 2);
    }

    @Test
    public void staleConnectionsDoNotCountAgainstTheEndpoint() {
        for (int i = 0; i < 50; i++) {
            endUnaccepted("s0", 0, AttemptOutcome.STALE_CONNECTION);
            assertTrue(admits("s0", 0));
        }
        assertTrue(describe("s0").contains("in use"), describe("s0"));
    }

    @Test
    public void consecutiveResetsOrConnectFailuresEjectTheEndpoint() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)) {
            String endpoint = outcome == AttemptOutcome.RESET ? "s1" : "s2";
            endUnaccepted(endpoint, 0, outcome);
            endUnaccepted(endpoint, 0, outcome);
            assertTrue(admits(endpoint, 0));
            endUnaccepted(endpoint, 0, outcome);
            assertFalse(admits(endpoint, 0));
        }
    }

    @Test
    public void flappingEndpointIsEjectedForFourSecondsAndAQuarterAtMost() {
        long longestUs = 0;
        for (int i = 0; i < 40; i++) {
            for (int j = 0; j < 3; j++) {
                endUnaccepted("s0", 0, AttemptOutcome.CONNECT_FAILED);
            }
            long ejectedAtUs = nowUs;
            while (!admits("s0", 0)) {
                nowUs += 10 * MS;
            }
            longestUs = Math.max(longestUs, nowUs - ejectedAtUs);
            nowUs += 2 * S;
        }
        assertTrue(longestUs > 3 * S && longestUs <= 5 * S, longestUs + " us");
    }

    @Test
    public void restartedProcessStartsWithoutEjections() {
        for (int i = 0; i < 3; i++) {
            endUnaccepted("s0", 0, AttemptOutcome.CONNECT_FAILED);
        }
        endUnaccepted("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        health.onListed("s0", 5 * S);
        assertTrue(admits("s0", 0) && admits("s0", 1));
    }

    @Test
    public void onlyErrorsAboveTheMedianEjectAnEndpoint() {
        for (int i = 0; i < 40; i++) {
            for (int h = 0; h < 9; h++) {
                endUnaccepted("s" + h, 0, AttemptOutcome.ERROR);
            }
        }
        for (int h = 0; h < 9; h++) {
            assertTrue(admits("s" + h, 0), "all fail alike: " + describe("s" + h));
        }
        listNineEndpoints();
        for (int i = 0; i < 40; i++) {
            for (int h = 0; h < 8; h++) {
                acceptAndServe("s" + h, 0);
            }
        }
        for (int i = 0; i < 10; i++) {
            endUnaccepted("s8", 0, AttemptOutcome.ERROR);
        }
        assertFalse(admits("s8", 0), describe("s8"));
    }

    @Test
    public void simultaneousFailuresEjectAThirdOfTheEndpointsAtMost() {
        for (int i = 0; i < 3; i++) {
            for (int h = 0; h < 9; h++) {
                endUnaccepted("s" + h, 0, AttemptOutcome.CONNECT_FAILED);
            }
        }
        long ejectedCount = java.util.stream.IntStream.range(0, 9)
                .filter(h -> !admits("s" + h, 0))
                .count();
        assertEquals(ejectedCount, 3);
        for (int h = 0; h < 9; h++) { // all of them restarted at once
            health.onListed("s" + h, nowUs);
            assertTrue(admits("s" + h, 0));
        }
    }

    /** Random sequences of outcomes: never more endpoints are ejected than the settings allow, and none permanently. */
    @Test
    public void ejectionsNeverExceedTheSettings() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            listNineEndpoints();
            for (int i = 0; i < 600; i++) {
                nowUs += random.nextLong(60 * MS);
                String endpoint = "s" + random.nextInt(9);
                int classIndex = random.nextInt(2);
                AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                send(endpoint, classIndex);
                if (random.nextInt(4) == 0) {
                    health.onAccepted(endpoint, classIndex, random.nextLong(200 * MS));
                    health.onEnd(nowUs, endpoint, classIndex, outcome, 50 * MS);
                } else {
                    health.onEnd(nowUs, endpoint, classIndex, outcome, -1);
                }
                for (int k = 0; k < 2; k++) {
                    int ejectedForClass = 0;
                    for (int h = 0; h < 9; h++) {
                        ejectedForClass +=
                                ((EndpointConnectionHealth) health.endpoint("s" + h)).isEjected(nowUs, k) ? 1 : 0;
                    }
                    assertTrue(
                            ejectedForClass <= 3 + 4,
                            "seed " + seed + " step " + i + ": " + ejectedForClass + " ejected");
                }
                int ejectedForAllClasses = 0;
                for (int h = 0; h < 9; h++) {
                    ejectedForAllClasses +=
                            ((EndpointConnectionHealth) health.endpoint("s" + h)).isEjected(nowUs, -1) ? 1 : 0;
                }
                assertTrue(
                        ejectedForAllClasses <= 3,
                        "seed " + seed + " step " + i + ": " + ejectedForAllClasses + " ejected for all classes");
            }
            nowUs += 30 * S;
            for (int h = 0; h < 9; h++) {
                assertTrue(admits("s" + h, 0) && admits("s" + h, 1), "seed " + seed + ": " + describe("s" + h));
            }
        }
    }
}
