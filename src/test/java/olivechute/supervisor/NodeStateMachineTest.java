package olivechute.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import olivechute.rollout.NodePhase;
import olivechute.supervisor.NodeEvent.Adopted;
import olivechute.supervisor.NodeEvent.Exited;
import olivechute.supervisor.NodeEvent.OrderReceived;
import olivechute.supervisor.NodeEvent.Ready;
import olivechute.supervisor.NodeEvent.Reloaded;
import olivechute.supervisor.NodeEvent.StartFailed;
import olivechute.supervisor.NodeEvent.Stop;
import olivechute.supervisor.NodeEvent.Tick;
import org.junit.jupiter.api.Test;

/** Tests the actions and reports of {@link NodeStateMachine} event by event. */
class NodeStateMachineTest {
    static final NodeTimeouts TIMEOUTS = new NodeTimeouts(
            Duration.ofSeconds(20), Duration.ofSeconds(10), Duration.ofMillis(200), Duration.ofSeconds(30));

    private NodeStateMachine machine = new NodeStateMachine("n", List.of("A", "B"), TIMEOUTS, 0, new Random(1));
    private long nowMs = 1000;

    static LaunchSpec launch(String version, long order) {
        return new LaunchSpec(version, order, version + ".jar", "", "", "{}");
    }

    private void useOneAddress() {
        machine = new NodeStateMachine("n", List.of("A"), TIMEOUTS, 0, new Random(1));
    }

    private String order(String version, long number) {
        return handle(new OrderReceived(launch(version, number), ""));
    }

    /** Handles an event and returns the resulting actions in a short form. */
    private String handle(NodeEvent event) {
        List<String> performed = new ArrayList<>();
        for (NodeAction action : machine.handle(event, nowMs)) {
            if (action instanceof NodeAction.Start a) {
                performed.add("start " + a.runId() + " " + a.launch().version() + " " + a.addressIndex());
            } else if (action instanceof NodeAction.Drain a) {
                performed.add("drain " + a.runId());
            } else if (action instanceof NodeAction.Kill a) {
                performed.add("kill " + a.runId());
            } else if (action instanceof NodeAction.Reload a) {
                performed.add("reload " + a.runId() + " " + a.launch().version());
            } else if (action instanceof NodeAction.RecordLaunch a) {
                performed.add("keep " + a.runId() + " " + a.launch().version());
            } else if (action instanceof NodeAction.Adopt a) {
                performed.add("adopt " + a.runId());
            }
        }
        return String.join(", ", performed);
    }

    private void assertReport(NodePhase phase, String version, long order) {
        NodeReport view = machine.report();
        assertEquals(
                phase + " " + version + " " + order, view.phase() + " " + view.version() + " " + view.completedOrder());
    }

    @Test
    void withTwoAddressesTheOldProcessDrainsOnceTheNewOneIsReady() {
        assertEquals("start 1 a 0", order("a", 0));
        assertReport(NodePhase.STARTING, "", 0);
        assertEquals("", handle(new Ready(1)));
        assertReport(NodePhase.READY, "a", 0);
        assertEquals("start 2 b 1", order("b", 1));
        assertReport(NodePhase.STARTING, "a", 0);
        assertEquals("drain 1", handle(new Ready(2)));
        assertReport(NodePhase.READY, "b", 1);
        assertEquals("", handle(new Exited(1, 143, "")));
        assertEquals("start 3 c 0", order("c", 2));
        assertEquals(0, machine.report().crashes());
    }

    @Test
    void withOneAddressTheOldProcessDrainsFirstAndIsKilledAfterTheTimeout() {
        useOneAddress();
        order("a", 1);
        handle(new Ready(1));
        assertEquals("drain 1", order("b", 2));
        assertReport(NodePhase.DRAINING, "a", 1);
        assertEquals(nowMs + 10_000, machine.nextTickMs());
        nowMs += 10_000;
        assertEquals("kill 1", handle(new Tick()));
        assertEquals("start 2 b 0", handle(new Exited(1, 137, "")));
        handle(new Ready(2));
        assertReport(NodePhase.READY, "b", 2);
    }

    @Test
    void ignoresOrdersThatAreNotNewer() {
        order("a", 5);
        handle(new Ready(1));
        assertEquals("", order("b", 5));
        assertEquals("", order("b", 4));
        assertEquals("start 2 b 1", order("b", 6));
        machine = new NodeStateMachine("n", List.of("A"), TIMEOUTS, 7, new Random(1));
        assertEquals("", order("a", 6));
        assertEquals("start 1 b 0", order("b", 7));
    }

    @Test
    void rejectedSettingsAreNotRetriedUntilTheNextOrder() {
        useOneAddress();
        order("a", 1);
        handle(new Ready(1));
        order("b", 2);
        handle(new Exited(1, 143, ""));
        assertEquals("", handle(new Exited(2, 1, "accounts: missing, must be a list")));
        assertReport(NodePhase.REFUSED, "", 2);
        assertTrue(
                machine.report().lastError().contains("accounts: missing"),
                machine.report().lastError());
        nowMs += 100_000;
        assertEquals("", handle(new Tick()));
        assertEquals(Long.MAX_VALUE, machine.nextTickMs());
        assertEquals("start 3 a 0", order("a", 3));
        handle(new Ready(3));
        assertReport(NodePhase.READY, "a", 3);
        assertEquals("", machine.report().lastError());
    }

    @Test
    void anOrderThatCannotBeStartedLeavesTheRunningProcess() {
        useOneAddress();
        order("a", 1);
        handle(new Ready(1));
        assertEquals("", handle(new OrderReceived(launch("b", 2), "PROGRAM_MISSING: b.jar")));
        assertReport(NodePhase.REFUSED, "a", 2);
        assertEquals("", order("a", 3));
        assertReport(NodePhase.READY, "a", 3);
        order("b", 4);
        handle(new Exited(1, 143, ""));
        assertEquals("", handle(new StartFailed(2, "PROGRAM_MISSING: gone since")));
        assertReport(NodePhase.REFUSED, "", 4);
    }

    @Test
    void restartsAfterACrashWithExponentialBackoff() {
        useOneAddress();
        order("a", 1);
        long run = 1;
        for (int i = 0; i < 12; i++) {
            assertEquals("", handle(new Exited(run, 134, "SIGABRT")));
            long wait = machine.nextTickMs() - nowMs;
            long expected = Math.min(30_000, 200L << i);
            assertTrue(wait >= expected * 0.8 - 1 && wait <= expected * 1.2, wait + " of " + expected);
            assertReport(NodePhase.DOWN, "", 1);
            nowMs = machine.nextTickMs() - 1;
            assertEquals("", handle(new Tick()));
            nowMs++;
            assertEquals("start " + ++run + " a 0", handle(new Tick()));
        }
        assertEquals(12, machine.report().crashes());
        handle(new Ready(run));
        nowMs += 60_000;
        handle(new Exited(run, null, ""));
        assertTrue(machine.nextTickMs() - nowMs <= 240, "a node that was stable waits as after the first failure");
        assertEquals("start 14 b 0", order("b", 2));
        assertEquals(0, machine.report().crashes());
    }

    @Test
    void aProcessThatIsNotReadyInTimeLeavesTheOldOneServing() {
        order("a", 1);
        handle(new Ready(1));
        order("b", 2);
        nowMs += 20_000;
        assertEquals("drain 2", handle(new Tick()));
        assertEquals(1, machine.report().crashes());
        assertTrue(machine.report().lastError().startsWith("NODE_NOT_READY"));
        assertReport(NodePhase.STARTING, "a", 2);
        handle(new Exited(2, 143, ""));
        nowMs = machine.nextTickMs();
        assertEquals("start 3 b 1", handle(new Tick()));
        assertEquals("drain 3", order("a", 3));
        assertReport(NodePhase.READY, "a", 3);
    }

    @Test
    void rollBackWhileTheOldProcessDrainsWaitsForAFreeAddress() {
        order("a", 1);
        handle(new Ready(1));
        order("b", 2);
        handle(new Ready(2));
        assertEquals("", order("a", 3));
        assertEquals("start 3 a 0", handle(new Exited(1, 143, "")));
        assertEquals("drain 2", handle(new Ready(3)));
    }

    @Test
    void reloadableSettingsChangeWithoutARestart() {
        LaunchSpec one = new LaunchSpec("a", 1, "j", "", "", "{\"discovery\":\"127.0.0.1:1\",\"name\":\"n\"}");
        handle(new OrderReceived(one, ""));
        handle(new Ready(1));
        assertEquals(
                "reload 1 b",
                handle(new OrderReceived(
                        new LaunchSpec("b", 2, "j", "", "", "{\"discovery\":\"127.0.0.1:2\",\"name\":\"n\"}"), "")));
        assertReport(NodePhase.READY, "a", 1);
        assertEquals("", handle(new Tick()));
        assertEquals("keep 1 b", handle(new Reloaded(1, "")));
        assertReport(NodePhase.READY, "b", 2);
        assertEquals(
                "reload 1 c",
                handle(new OrderReceived(
                        new LaunchSpec("c", 3, "j", "", "", "{\"discovery\":\"no\",\"name\":\"n\"}"), "")));
        assertEquals("keep 1 b", handle(new Reloaded(1, "discovery: must be ADDRESS:PORT")));
        assertReport(NodePhase.REFUSED, "b", 3);
        assertEquals(
                "start 2 d 1",
                handle(new OrderReceived(
                        new LaunchSpec("d", 4, "j", "", "", "{\"discovery\":\"127.0.0.1:2\",\"name\":\"m\"}"), "")));
    }

    @Test
    void restartsWhenTheReloadTimesOut() {
        handle(new OrderReceived(new LaunchSpec("a", 1, "j", "", "", "{}"), ""));
        handle(new Ready(1));
        assertEquals(
                "reload 1 b", handle(new OrderReceived(new LaunchSpec("b", 2, "j", "", "", "{\"discovery\":1}"), "")));
        nowMs += 20_000;
        assertEquals("start 2 b 1", handle(new Tick()));
    }

    @Test
    void adoptsProcessesOfAnEarlierSupervisor() {
        assertEquals("adopt 1", handle(new Adopted(0, launch("a", 1))));
        assertEquals("adopt 2", handle(new Adopted(1, launch("b", 2))));
        assertEquals("", order("b", 2));
        assertReport(NodePhase.STARTING, "a", 0);
        assertEquals("drain 1", handle(new Ready(2)));
        assertReport(NodePhase.READY, "b", 2);
        assertEquals("start 3 b 0", handle(new Exited(1, null, "")) + handle(new Exited(2, null, "")) + tickWhenDue());
    }

    private String tickWhenDue() {
        nowMs = machine.nextTickMs();
        return handle(new Tick());
    }

    @Test
    void stopDrainsAllProcessesAndStartsNone() {
        order("a", 1);
        handle(new Ready(1));
        order("b", 2);
        assertEquals("drain 1, drain 2", handle(new Stop()));
        assertEquals("", handle(new Exited(1, 143, "")) + handle(new Exited(2, 143, "")) + order("c", 3));
        assertTrue(machine.isIdle());
        assertEquals(Long.MAX_VALUE, machine.nextTickMs());
    }
}
