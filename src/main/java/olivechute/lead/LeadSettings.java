package olivechute.lead;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import olivechute.config.Hocon;
import olivechute.fault.FaultKind;
import olivechute.fault.SettingsFault;
import olivechute.figures.Delay;
import olivechute.rollout.Rollout;
import olivechute.rollout.Worths;

/** How the driver judges and how often it looks: {@code worths} of the classes of jobs, {@code tick} between two looks. */
public record LeadSettings(Worths worths, Duration tick) {
    private static final double MOST_WORTH = 1e6;

    /** Reads the file of a replica; SETTINGS_INVALID names every fault in its object {@code rollout}. */
    public static LeadSettings load(Path file) throws SettingsFault {
        try {
            List<String> faults = new ArrayList<>();
            LeadSettings settings = read(Hocon.parse(Files.readString(file), faults).node("rollout"),
                Delay.BOUNDS.stream().mapToLong(Long::longValue).toArray());
            if (!faults.isEmpty()) {
                throw new SettingsFault(FaultKind.SETTINGS_INVALID, String.join("; ", faults));
            }
            return settings;
        } catch (IOException e) {
            throw new SettingsFault(FaultKind.SETTINGS_INVALID, file + " cannot be read", e);
        }
    }

    /**
     * Reads the object {@code rollout} of the store's settings: {@code worth} of each class, 1 where it is not named; {@code late}, the
     * part of it that a job served late still has; {@code tick}. Faults go to the reader's list. {@code delayBoundsUs}: upper ends of
     * the buckets in which nodes count their delay, in us.
     */
    public static LeadSettings read(Hocon rollout, long[] delayBoundsUs) {
        Hocon each = rollout.node("worth");
        double late = rollout.number("late", 0.2, 0, 1);
        Map<String, Double> worth = new HashMap<>();
        Map<String, Double> latePart = new HashMap<>();
        for (String name : each.names()) {
            worth.put(name, each.number(name, 1, 0, MOST_WORTH));
            latePart.put(name, late);
        }
        Duration tick = rollout.duration("tick", Duration.ofSeconds(1), Duration.ofMillis(50), Driver.TTL.dividedBy(2));
        rollout.close();
        return new LeadSettings(new Worths(worth, latePart, delayBoundsUs), tick);
    }

    TickPlan.Steps steps() {
        return (progress, nodes, figures, now) -> Rollout.step(progress, nodes, figures, worths, now);
    }
}
