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

/** What the sockets show of hosts, in virtual time. Class 0 is 'verify', class 1 'sign'. */
public class ConnectionHealthTest {
    private static final long MS = 1000;
    private static final long S = 1_000_000;

    private ConnectionHealth fleet;
    private long now;

    @BeforeMethod
    public void nineHosts() {
        now = 100 * S;
        fleet = new ConnectionHealth(HealthSettings.DEFAULT, 2, List.of("t"), () -> 0.5, EndpointListLease.nonExpiring());
        for (int i = 0; i < 9; i++) {
            fleet.onListed("s" + i, 0);
        }
    }

    private void sent(String host, int kind) {
        fleet.onSend(now, host, kind, "t", true);
    }

    private void accepted(String host, int kind) {
        sent(host, kind);
        fleet.onAccepted(host, kind, 30 * MS);
        fleet.onEnd(now, host, kind, AttemptOutcome.OK, 100 * MS);
    }

    private void ends(String host, int kind, AttemptOutcome outcome) {
        sent(host, kind);
        fleet.onEnd(now, host, kind, outcome, -1);
    }

    private boolean takes(String host, int kind) {
        return fleet.endpoint(host).admits(now, kind);
    }

    private String told(String host) {
        List<String> text = new ArrayList<>();
        fleet.describe(now, (name, what) -> text.add(name + ": " + what));
        return text.stream().filter(t -> t.startsWith(host + ":")).findFirst().orElseThrow();
    }

    @Test
    public void aClassThatAHostLeavesUnacceptedStaysAwayFromItForLongerEachTime() {
        accepted("s0", 0);
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        assertFalse(takes("s0", 1));
        assertTrue(takes("s0", 0), "the other class goes on there");
        now += 1 * S + 1;
        assertTrue(takes("s0", 1));
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        now += 3 * S;
        assertFalse(takes("s0", 1));
        now += 1 * S + 1;
        assertTrue(takes("s0", 1));
        accepted("s0", 0);
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        now += 15 * S;
        assertFalse(takes("s0", 1), told("s0"));
        assertTrue(told("s0").contains("class 1 ejected for 1000 ms"), told("s0"));
    }

    /** zone+vast: a host that is silent and cannot be dialled is gone for all classes, and one such end says it. */
    @Test
    public void aHostThatCannotBeToldOfAWithdrawalIsLeftAloneWithAllClasses() {
        accepted("s0", 0);
        ends("s0", 0, AttemptOutcome.CANCEL_UNCONFIRMED);
        assertFalse(takes("s0", 0));
        assertFalse(takes("s0", 1));
        assertTrue(told("s0").contains("silent and not to be connected to"), told("s0"));
        now += 1 * S;
        assertTrue(takes("s0", 1));
    }

    @Test
    public void aDoubtedClassIsTriedByOneOrdinaryRequestAtATime() {
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        now += 2 * S;
        assertTrue(takes("s0", 1));
        sent("s0", 1);
        assertFalse(takes("s0", 1), "one is on its way");
        fleet.onAccepted("s0", 1, 30 * MS);
        assertTrue(takes("s0", 1));
        sent("s0", 1);
        assertTrue(takes("s0", 1), "trusted again");
    }

    @Test
    public void aSilentConnectionNowAndThenIsNoReasonToLeaveAHostForLong() {
        for (int i = 0; i < 5; i++) {
            ends("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
            now += 2 * S;
            assertTrue(takes("s0", 0));
            accepted("s0", 0);
            accepted("s0", 0);
        }
    }

    @Test
    public void oneThatAcceptsNothingIsLeftAloneWithAllAndComesBackSlowly() {
        ends("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        ends("s0", 0, AttemptOutcome.ACCEPT_TIMEOUT);
        assertFalse(takes("s0", 0));
        assertFalse(takes("s0", 1));
        assertTrue(told("s0").contains("3 accept timeouts in a row"), told("s0"));
        now += 5 * S;
        assertEquals(fleet.endpoint("s0").concurrencyLimit(), 1);
        accepted("s0", 0);
        assertEquals(fleet.endpoint("s0").concurrencyLimit(), 2);
    }

    @Test
    public void whatBrokeWithAKeptConnectionIsNotHeldAgainstItsHost() {
        for (int i = 0; i < 50; i++) {
            ends("s0", 0, AttemptOutcome.STALE_CONNECTION);
            assertTrue(takes("s0", 0));
        }
        assertTrue(told("s0").contains("in use"), told("s0"));
    }

    @Test
    public void newConnectionsThatBreakOrCannotBeMadeInARowAre() {
        for (AttemptOutcome outcome : List.of(AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)) {
            String host = outcome == AttemptOutcome.RESET ? "s1" : "s2";
            ends(host, 0, outcome);
            ends(host, 0, outcome);
            assertTrue(takes(host, 0));
            ends(host, 0, outcome);
            assertFalse(takes(host, 0));
        }
    }

    @Test
    public void aFlappingHostIsLeftAloneForNoLongerThanFourSecondsAndAQuarter() {
        long longest = 0;
        for (int i = 0; i < 40; i++) {
            for (int j = 0; j < 3; j++) {
                ends("s0", 0, AttemptOutcome.CONNECT_FAILED);
            }
            long from = now;
            while (!takes("s0", 0)) {
                now += 10 * MS;
            }
            longest = Math.max(longest, now - from);
            now += 2 * S;
        }
        assertTrue(longest > 3 * S && longest <= 5 * S, longest + " us");
    }

    @Test
    public void aProcessThatStartedAnewHasNothingHeldAgainstIt() {
        for (int i = 0; i < 3; i++) {
            ends("s0", 0, AttemptOutcome.CONNECT_FAILED);
        }
        ends("s0", 1, AttemptOutcome.ACCEPT_TIMEOUT);
        fleet.onListed("s0", 5 * S);
        assertTrue(takes("s0", 0) && takes("s0", 1));
    }

    @Test
    public void errorsOfAllHostsAlikeAreNobodysButOnesOwnAre() {
        for (int i = 0; i < 40; i++) {
            for (int h = 0; h < 9; h++) {
                ends("s" + h, 0, AttemptOutcome.ERROR);
            }
        }
        for (int h = 0; h < 9; h++) {
            assertTrue(takes("s" + h, 0), "all fail alike: " + told("s" + h));
        }
        nineHosts();
        for (int i = 0; i < 40; i++) {
            for (int h = 0; h < 8; h++) {
                accepted("s" + h, 0);
            }
        }
        for (int i = 0; i < 10; i++) {
            ends("s8", 0, AttemptOutcome.ERROR);
        }
        assertFalse(takes("s8", 0), told("s8"));
    }

    @Test
    public void allThatFailAtOnceLeaveMostOfTheFleetInUse() {
        for (int i = 0; i < 3; i++) {
            for (int h = 0; h < 9; h++) {
                ends("s" + h, 0, AttemptOutcome.CONNECT_FAILED);
            }
        }
        long alone = java.util.stream.IntStream.range(0, 9)
                .filter(h -> !takes("s" + h, 0))
                .count();
        assertEquals(alone, 3);
        for (int h = 0; h < 9; h++) { // back, cold, all together
            fleet.onListed("s" + h, now);
            assertTrue(takes("s" + h, 0));
        }
    }

    /** Whatever happens, in whatever order: never more alone than the settings say, and none for good. */
    @Test
    public void neverMoreAreLeftAloneThanTheSettingsSay() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            nineHosts();
            for (int i = 0; i < 600; i++) {
                now += random.nextLong(60 * MS);
                String host = "s" + random.nextInt(9);
                int kind = random.nextInt(2);
                AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                sent(host, kind);
                if (random.nextInt(4) == 0) {
                    fleet.onAccepted(host, kind, random.nextLong(200 * MS));
                    fleet.onEnd(now, host, kind, outcome, 50 * MS);
                } else {
                    fleet.onEnd(now, host, kind, outcome, -1);
                }
                for (int k = 0; k < 2; k++) {
                    int resting = 0;
                    for (int h = 0; h < 9; h++) {
                        resting += ((EndpointConnectionHealth) fleet.endpoint("s" + h)).ejected(now, k) ? 1 : 0;
                    }
                    assertTrue(resting <= 3 + 4, "seed " + seed + " step " + i + ": " + resting + " alone");
                }
                int whole = 0;
                for (int h = 0; h < 9; h++) {
                    whole += ((EndpointConnectionHealth) fleet.endpoint("s" + h)).ejected(now, -1) ? 1 : 0;
                }
                assertTrue(whole <= 3, "seed " + seed + " step " + i + ": " + whole + " alone with all");
            }
            now += 30 * S;
            for (int h = 0; h < 9; h++) {
                assertTrue(takes("s" + h, 0) && takes("s" + h, 1), "seed " + seed + ": " + told("s" + h));
            }
        }
    }
}
