package olivechute.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import org.junit.jupiter.api.Test;

/** Which nodes get an order outside of a change. */
class OutOfDateNodesTest {
    private static NodeStatus node(
            String name, String version, NodePhase phase, boolean reachable, String orderedVersion) {
        return new NodeStatus(name, "z", version, phase, 0, 0, "", reachable, orderedVersion);
    }

    private static NodeStatus ready(String name, String version, String orderedVersion) {
        return node(name, version, NodePhase.READY, true, orderedVersion);
    }

    private static Map<String, String> orders(boolean changeActive, NodeStatus... nodes) {
        Map<String, String> orders = new TreeMap<>();
        OutOfDateNodes.addOrders(List.of(nodes), n -> "v5", changeActive, orders);
        return orders;
    }

    @Test
    void ordersWithoutRestartAreGivenAtOnce() {
        NodeStatus[] joiners = {
            node("n1", "", NodePhase.DOWN, true, null),
            ready("n2", "v5", null),
            node("n3", "", NodePhase.DOWN, true, null)
        };
        assertEquals(Map.of("n1", "v5", "n2", "v5", "n3", "v5"), orders(false, joiners));
        assertEquals(Map.of("n1", "v5", "n2", "v5", "n3", "v5"), orders(true, joiners));
    }

    @Test
    void restartsAreOrderedOneAtATime() {
        assertEquals(
                Map.of("n1", "v5"),
                orders(false, ready("n1", "v1", null), ready("n2", "v4", "v4"), ready("n3", "v5", "v5")));
        assertEquals(Map.of(), orders(false, ready("n1", "v1", "v5"), ready("n2", "v4", "v4")));
        assertEquals(
                Map.of(), orders(false, node("n1", "v5", NodePhase.STARTING, true, "v5"), ready("n2", "v4", null)));
    }

    @Test
    void aDownNodeDoesNotBlockOthers() {
        assertEquals(
                Map.of("n2", "v5"),
                orders(false, node("n1", "v5", NodePhase.DOWN, true, "v5"), ready("n2", "v4", "v4")));
    }

    @Test
    void noRestartsAreOrderedDuringAChange() {
        assertEquals(Map.of(), orders(true, ready("n1", "v1", null), ready("n2", "v4", "v4")));
    }

    @Test
    void unreachableNodesAreSkipped() {
        assertEquals(Map.of(), orders(false, node("n1", "v4", NodePhase.READY, false, "v4")));
    }
}
