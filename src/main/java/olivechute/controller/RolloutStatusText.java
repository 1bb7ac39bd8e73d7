package olivechute.controller;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import olivechute.error.RolloutException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.rollout.NodePhase;
import olivechute.rollout.NodeStatus;
import olivechute.store.Store.Entry;

/** Output of the {@code change} command: one item per line, its name first. */
final class RolloutStatusText {
    private RolloutStatusText() {}

    /** The active change, or the one that ended last; null if there was none. */
    static ChangeRecord newestChange(FleetState fleet) throws RolloutException {
        Optional<ChangeRecord> current = fleet.currentChange();
        List<Entry> pastChanges = fleet.entriesUnder(StoreKeys.PAST_CHANGE_PREFIX);
        if (current.isPresent() || pastChanges.isEmpty()) {
            return current.orElse(null);
        }
        Entry last = pastChanges.get(pastChanges.size() - 1);
        return RolloutCodec.parse(ChangeRecord.parser(), last.key(), last.value());
    }

    static List<String> of(ChangeRecord record) {
        List<String> lines = new ArrayList<>();
        lines.add("change: " + record.getSpec().getId());
        lines.add("from: " + record.getSpec().getFromVersion());
        lines.add("to: " + record.getSpec().getToVersion());
        lines.add("phase: " + record.getPhase());
        lines.add(
                "stage: " + (record.getStage() + 1) + " of " + record.getSpec().getStagesCount());
        lines.add("since: " + Instant.ofEpochMilli(record.getStageSinceMs()));
        lines.add("reason: " + record.getReason());
        return lines;
    }

    static List<String> of(FleetState fleet) throws RolloutException {
        List<String> lines = new ArrayList<>();
        lines.add("base: " + (fleet.baseVersion() == null ? "none" : fleet.baseVersion()));
        ChangeRecord newest = newestChange(fleet);
        if (newest != null) {
            lines.addAll(of(newest));
        }
        Map<String, List<String>> readyByVersion = new TreeMap<>();
        List<String> unavailableLines = new ArrayList<>();
        for (NodeStatus node : fleet.nodes()) {
            if (node.reachable() && node.phase() == NodePhase.READY) {
                readyByVersion
                        .computeIfAbsent(node.version(), v -> new ArrayList<>())
                        .add(node.node());
            } else {
                unavailableLines.add("away: " + node.node() + " " + (node.reachable() ? node.phase() : "out of reach")
                        + ", ordered " + (node.orderedVersion() == null ? "nothing" : node.orderedVersion())
                        + (node.lastError().isEmpty() ? "" : ": " + node.lastError()));
            }
        }
        readyByVersion.forEach((version, names) ->
                lines.add("nodes: " + names.size() + " ready at " + version + ": " + String.join(" ", names)));
        lines.addAll(unavailableLines);
        return lines;
    }
}
