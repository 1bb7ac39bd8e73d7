package olivechute.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Checks the invariants of {@link NodeStateMachine} under random sequences of events. */
class NodeStateMachinePropertyTest {
    /** The actual state of a process, which the state machine only learns from events. */
    private static final class FakeProcess {
        long runId;
        int address;
        LaunchSpec launch;
        boolean ready;
        boolean drainRequested;
    }

    private final Map<Long, FakeProcess> running = new HashMap<>();
    private NodeStateMachine machine;
    private int addressCount;
    private long highestOrder;
    private long nowMs;

    private void handle(NodeEvent event) {
        for (NodeAction action : machine.handle(event, nowMs)) {
            if (action instanceof NodeAction.Start a) {
                started(a.runId(), a.addressIndex(), a.launch());
                assertTrue(a.launch().orderNumber() >= highestOrder, "an older order was carried out");
                highestOrder = a.launch().orderNumber();
            } else if (action instanceof NodeAction.Adopt a) {
                started(a.runId(), a.addressIndex(), a.launch());
            } else if (action instanceof NodeAction.Drain a) {
                drained(running.get(a.runId()));
            } else if (action instanceof NodeAction.Kill a) {
                assertTrue(running.get(a.runId()).drainRequested, "killed before it was asked to drain");
            } else if (action instanceof NodeAction.Reload a) {
                assertTrue(running.get(a.runId()).ready, "SIGHUP would end a process that is still starting");
            } else if (action instanceof NodeAction.RecordLaunch a) {
                running.get(a.runId()).launch = a.launch();
            }
        }
        assertTrue(machine.nextTickMs() > nowMs, "the next tick is not in the future");
    }

    private void started(long id, int address, LaunchSpec launch) {
        assertTrue(running.values().stream().noneMatch(r -> r.address == address), "two processes at one address");
        FakeProcess run = new FakeProcess();
        run.runId = id;
        run.address = address;
        run.launch = launch;
        running.put(id, run);
    }

    private void drained(FakeProcess run) {
        assertTrue(!run.drainRequested, "asked to drain twice");
        run.drainRequested = true;
        String target = machine.target().version();
        if (addressCount == 2 && run.ready && !run.launch.version().equals(target)) {
            assertTrue(
                    running.values().stream()
                            .anyMatch(r -> r.ready
                                    && !r.drainRequested
                                    && r.launch.version().equals(target)),
                    "the old process drains before the new one is ready");
        }
        assertTrue(
                !run.ready || !run.launch.version().equals(target),
                "a process that serves the ordered version is drained");
    }

    /** Each step is a number that encodes the event and the process that it concerns. */
    @Property(tries = 2000)
    void invariantsHoldForAnyEventSequence(
            @ForAll @IntRange(min = 1, max = 2) int count,
            @ForAll @Size(max = 60) List<@IntRange(max = 9999) Integer> steps,
            @ForAll long seed) {
        addressCount = count;
        running.clear();
        highestOrder = 0;
        nowMs = 1000;
        machine = new NodeStateMachine(
                "n", List.of("A", "B").subList(0, count), NodeStateMachineTest.TIMEOUTS, 0, new Random(seed));
        for (int step : steps) {
            nowMs += step % 7 * 1500L;
            List<FakeProcess> all = new ArrayList<>(running.values());
            FakeProcess selected = all.isEmpty() ? null : all.get(step / 10 % all.size());
            switch (step % 10) {
                case 0, 1, 2 -> order(step / 10 % 4, step / 40 % 12);
                case 3, 4, 5 -> {
                    if (selected != null && !selected.drainRequested) {
                        selected.ready = true;
                        handle(new NodeEvent.Ready(selected.runId));
                    }
                }
                case 6, 7 -> {
                    if (selected != null) {
                        running.remove(selected.runId);
                        handle(new NodeEvent.Exited(
                                selected.runId, step / 100 % 3, step / 300 % 2 == 0 ? "key: wrong" : "broke"));
                    }
                }
                case 8 -> {
                    if (selected != null) {
                        handle(new NodeEvent.Reloaded(selected.runId, step / 100 % 2 == 0 ? "" : "key: wrong"));
                    }
                }
                default -> handle(new NodeEvent.Tick());
            }
        }
        assertConverges();
    }

    /** Versions 0 and 1 differ only in reloadable settings, the others in their programs. */
    private void order(int version, long number) {
        handle(new NodeEvent.OrderReceived(
                new LaunchSpec("v" + version, number, "p" + version / 2, "", "", "{\"discovery\":" + version + "}"),
                ""));
    }

    /** Once no more errors occur, the version of the newest order must run, and nothing else. */
    private void assertConverges() {
        order(3, 100);
        for (int i = 0; i < 40; i++) {
            nowMs = Math.max(nowMs, machine.nextTickMs() == Long.MAX_VALUE ? nowMs : machine.nextTickMs());
            handle(new NodeEvent.Tick());
            for (FakeProcess each : new ArrayList<>(running.values())) {
                if (each.drainRequested) {
                    running.remove(each.runId);
                    handle(new NodeEvent.Exited(each.runId, 143, ""));
                } else if (!each.ready) {
                    each.ready = true;
                    handle(new NodeEvent.Ready(each.runId));
                }
            }
        }
        assertEquals(
                List.of("v3"),
                running.values().stream().map(r -> r.launch.version()).toList());
        assertEquals(100, machine.report().completedOrder());
    }
}
