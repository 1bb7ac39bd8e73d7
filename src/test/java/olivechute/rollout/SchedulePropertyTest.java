package olivechute.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import olivechute.error.RolloutException;

/** Properties that hold however nodes crash, disconnect and restart, and however often another leader takes over. */
class SchedulePropertyTest {
    @Property(tries = 300, seed = "20261202")
    void unavailableNodesStayWithinTheBudget(
            @ForAll @LongRange(max = 1L << 40) long seed, @ForAll @IntRange(min = 1, max = 3) int maxUnavailable)
            throws RolloutException {
        Random random = new Random(seed);
        SmallFleet fleet = new SmallFleet(maxUnavailable, SmallFleet.FIRST, SmallFleet.SECOND, SmallFleet.LAST);
        for (int s = 0; s < 400 && !fleet.state.phase().ended(); s++) {
            injectEvent(fleet, random);
            fleet.run(1);
            assertTrue(
                    fleet.maxUnavailableSeen <= maxUnavailable, fleet.state.reason() + ": " + fleet.maxUnavailableSeen);
            byte[] bytes = fleet.state.evidence();
            assertTrue(bytes.length <= EvidenceLimits.MAX_BYTES);
            assertArrayEquals(
                    bytes, EvidenceCodec.encode(EvidenceCodec.decode(bytes).orElseThrow()));
            if (fleet.state.phase() == RolloutPhase.DONE) {
                assertEquals(fleet.nodes.size(), fleet.state.moved().size());
            }
        }
    }

    private static void injectEvent(SmallFleet fleet, Random random) throws RolloutException {
        SimNode node = fleet.nodes.get(random.nextInt(fleet.nodes.size()));
        switch (random.nextInt(60)) {
            case 0 -> {
                node.phase = NodePhase.DOWN;
                node.phaseSinceMs = fleet.nowMs;
                node.crashes++;
            }
            case 1, 2 -> node.reachable = !node.reachable;
            case 3 -> node.start(node.version, fleet.nowMs);
            case 4 ->
                fleet.state = random.nextBoolean() || fleet.state.phase() == RolloutPhase.ROLLING_BACK
                        ? fleet.state
                        : Rollout.pause(fleet.state, fleet.nowMs);
            case 5, 6 ->
                fleet.state = fleet.state.phase() == RolloutPhase.ROLLING_BACK
                        ? fleet.state
                        : Rollout.resume(fleet.state, fleet.nowMs);
            case 7 -> {
                RolloutState previous = fleet.state;
                fleet.state = new RolloutState(
                        previous.spec(),
                        previous.phase(),
                        previous.stage(),
                        previous.stageSinceMs(),
                        previous.reason(),
                        previous.moved(),
                        new byte[] {9});
            }
            case 8 -> fleet.state = random.nextInt(5) == 0 ? Rollout.stop(fleet.state, fleet.nowMs) : fleet.state;
            default -> fleet.nodes.forEach(each -> each.reachable |= random.nextInt(20) == 0);
        }
    }

    @Property(tries = 300, seed = "20261202")
    void updateOrderIsSpreadOverZonesAndDeterministic(
            @ForAll @LongRange(max = 1L << 40) long seed, @ForAll @IntRange(min = 3, max = 90) int count) {
        Random random = new Random(seed);
        List<NodeStatus> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new NodeStatus("n" + i, SimFleet.ZONES[i % 3], "v1", NodePhase.READY, 0, 0, "", true, null));
        }
        List<NodeStatus> order = NodeSelection.updateOrder("c" + seed, nodes, Set.of());
        Collections.shuffle(nodes, random);
        assertEquals(order, NodeSelection.updateOrder("c" + seed, nodes, Set.of()));
        assertEquals(count, new HashSet<>(order).size());
        Map<String, Integer> zones = new HashMap<>();
        for (int i = 0; i < count; i++) {
            zones.merge(order.get(i).zone(), 1, Integer::sum);
            int size = i + 1;
            zones.values().forEach(of -> assertTrue(of <= size / 3 + 1, zones.toString()));
        }
        assertEquals(
                NodeSelection.targetNodeCount(new RolloutStage(0, 10, 0, 1, 0), count), (int) Math.ceil(count / 10.0));
    }

    @Property(tries = 2000, seed = "20261202")
    void corruptEvidenceIsRejected(@ForAll byte[] bytes, @ForAll @IntRange(min = 0, max = 400) int position) {
        assertTrue(EvidenceCodec.decode(bytes).isEmpty());
        byte[] valid = SmallFleet.withThreeStages().run(12).state.evidence();
        byte[] corrupted = valid.clone();
        corrupted[position % corrupted.length] ^= 4;
        assertTrue(EvidenceCodec.decode(corrupted).isEmpty());
        assertTrue(EvidenceCodec.decode(java.util.Arrays.copyOf(valid, position % valid.length))
                .isEmpty());
    }
}
