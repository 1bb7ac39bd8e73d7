package olivechute.controller;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import olivechute.config.HoconObject;
import olivechute.error.ErrorCode;
import olivechute.error.FleetException;
import olivechute.error.RolloutException;
import olivechute.error.StoreException;
import olivechute.fleet.wire.ChangeRecord;
import olivechute.fleet.wire.ChangeSpec;
import olivechute.fleet.wire.VersionSpec;
import olivechute.rollout.RolloutPhase;
import olivechute.store.ReplicaAddress;
import olivechute.store.Store;
import olivechute.store.raft.RatisStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code change} command: proposes, shows, pauses, resumes and stops a change of the fleet. */
@Command(
        name = "change",
        mixinStandardHelpOptions = true,
        description = "Proposes, shows, pauses, resumes and stops a change of the fleet.",
        footer = "Exit status: 0 success, 1 invalid settings or a reported error, 2 invalid arguments.")
public final class RolloutCommand implements Callable<Integer> {
    /** Connects to the store. */
    interface StoreConnector {
        Store connect(String region, List<ReplicaAddress> replicas, Duration timeout) throws FleetException;
    }

    private interface StoreTask {
        int run(RolloutClient client, RolloutClientSettings settings, Store store) throws FleetException;
    }

    /** Options of every subcommand. */
    static final class SettingsOption {
        @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
        private Path settings;
    }

    /** Options that define a version. */
    static final class VersionOptions {
        @Option(
                names = "--program",
                paramLabel = "JAR",
                description = "The program's jar, at this path on every machine.")
        private Path program;

        @Option(names = "--digest", paramLabel = "SHA256", description = "The digest that the program must have.")
        private String digest;

        @Option(
                names = "--overlay",
                paramLabel = "FILE",
                description = "Settings that override each node's own configuration.")
        private Path overlay;

        private VersionSpec versionSpec(String id) throws FleetException {
            VersionSpec.Builder spec = VersionSpec.newBuilder().setId(id);
            if (program != null) {
                String actualDigest = ArtifactDigest.digest(program);
                ArtifactDigest.verify(program, actualDigest, digest);
                spec.setProgram(program.toAbsolutePath().normalize().toString()).setDigest(actualDigest);
            }
            if (overlay != null) {
                String text = RolloutClientSettings.readText(overlay);
                List<String> errors = new ArrayList<>();
                HoconObject.parse(text, errors);
                if (!errors.isEmpty()) {
                    throw new RolloutException(ErrorCode.CHANGE_INVALID, overlay + ": " + String.join("; ", errors));
                }
                spec.setSettings(text);
            }
            return spec.build();
        }
    }

    @Spec
    private CommandSpec commandSpec;

    private final StoreConnector connector;

    /** Connects to the replicas that the settings list. */
    public RolloutCommand() {
        // A lambda, not a method reference: a reference would load the Ratis library as soon as any command is
        // looked up, while only `change` has it available.
        this((region, replicas, timeout) -> RatisStore.connect(region, replicas, timeout));
    }

    RolloutCommand(StoreConnector connector) {
        this.connector = connector;
    }

    @Override
    public Integer call() {
        commandSpec.commandLine().usage(commandSpec.commandLine().getErr());
        return 2;
    }

    @Command(name = "base", mixinStandardHelpOptions = true, description = "Sets the first version of a new fleet.")
    int setBaseVersion(
            @Mixin SettingsOption settingsOption,
            @Option(names = "--id", required = true, description = "The version's id.") String id,
            @Mixin VersionOptions versionOptions) {
        return run(settingsOption, (client, settings, store) -> {
            client.setBaseVersion(versionOptions.versionSpec(id));
            return print(List.of("base: " + id));
        });
    }

    @Command(
            name = "propose",
            mixinStandardHelpOptions = true,
            description =
                    "Begins a change to a version with a new program, new settings or both; the rest stays as in the base.")
    int propose(
            @Mixin SettingsOption settingsOption,
            @Mixin VersionOptions versionOptions,
            @Option(names = "--id", description = "ID of the change and of its version; by default the current time.")
                    String id) {
        if (versionOptions.program == null && versionOptions.overlay == null) {
            throw new ParameterException(commandSpec.commandLine(), "specify --program, --overlay or both");
        }
        String changeId = id != null
                ? id
                : DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss")
                        .withZone(ZoneOffset.UTC)
                        .format(Instant.now());
        return run(
                settingsOption,
                (client, settings, store) -> print(RolloutStatusText.of(client.propose(
                        ChangeSpec.newBuilder()
                                .setId(changeId)
                                .addAllStages(settings.stages())
                                .setMostAway(settings.maxUnavailable())
                                .setReadyWithinMs(settings.readyTimeout().toMillis())
                                .setProposedBy(System.getProperty("user.name", ""))
                                .build(),
                        versionOptions.versionSpec(changeId)))));
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Shows the change under way, or the last one, and the nodes.")
    int show(
            @Mixin SettingsOption settingsOption,
            @Option(
                            names = "--wait",
                            paramLabel = "PHASE",
                            description =
                                    "Waits until the change is in this phase; exits with 1 if it ends in another.")
                    RolloutPhase phase,
            @Option(
                            names = "--within",
                            paramLabel = "SECONDS",
                            defaultValue = "600",
                            description = "Maximum wait; exits with 1 after it.")
                    long timeoutSeconds) {
        return run(settingsOption, (client, settings, store) -> {
            boolean reached = phase == null || awaitPhase(store, phase, TimeUnit.SECONDS.toNanos(timeoutSeconds));
            print(RolloutStatusText.of(client.fleetState()));
            return reached ? 0 : 1;
        });
    }

    private static boolean awaitPhase(Store store, RolloutPhase phase, long timeoutNanos) throws FleetException {
        long startNanos = System.nanoTime();
        FleetState fleet = null;
        while (true) {
            try {
                fleet = refresh(store, fleet);
                ChangeRecord newest = RolloutStatusText.newestChange(fleet);
                if (newest == null) {
                    throw new RolloutException(ErrorCode.CHANGE_UNKNOWN, "there was no change yet");
                }
                boolean reached = newest.getPhase().equals(phase.name());
                if (reached || fleet.currentChange().isEmpty() || System.nanoTime() - startNanos > timeoutNanos) {
                    return reached;
                }
            } catch (StoreException e) {
                boolean transientError = e.code() == ErrorCode.NOT_REACHED || e.code() == ErrorCode.NO_MAJORITY;
                if (!transientError || System.nanoTime() - startNanos > timeoutNanos) {
                    throw e;
                }
                fleet = null; // waits through a leader failover, too
            }
        }
    }

    private static FleetState refresh(Store store, FleetState fleet) throws FleetException {
        FleetState next = fleet == null ? new FleetState() : fleet;
        next.apply(
                fleet == null ? store.list("change/") : store.watch("change/", fleet.version(), Duration.ofSeconds(1)));
        return next;
    }

    @Command(
            name = "pause",
            mixinStandardHelpOptions = true,
            description = "Moves no more nodes until the change is resumed.")
    int pause(@Mixin SettingsOption settingsOption) {
        return run(settingsOption, (client, settings, store) -> print(RolloutStatusText.of(client.pause())));
    }

    @Command(name = "resume", mixinStandardHelpOptions = true, description = "Resumes a paused or held change.")
    int resume(@Mixin SettingsOption settingsOption) {
        return run(settingsOption, (client, settings, store) -> print(RolloutStatusText.of(client.resume())));
    }

    @Command(
            name = "stop",
            mixinStandardHelpOptions = true,
            description = "Rolls the new nodes back to the previous version.")
    int stop(@Mixin SettingsOption settingsOption) {
        return run(settingsOption, (client, settings, store) -> print(RolloutStatusText.of(client.stop())));
    }

    @Command(name = "forget", mixinStandardHelpOptions = true, description = "Removes a node that will not come back.")
    int forget(
            @Mixin SettingsOption settingsOption,
            @Parameters(paramLabel = "NODE", description = "The node's name.") String node) {
        return run(settingsOption, (client, settings, store) -> {
            client.forget(node);
            return print(List.of("forgotten: " + node));
        });
    }

    private int run(SettingsOption settingsOption, StoreTask task) {
        try {
            RolloutClientSettings settings = RolloutClientSettings.load(settingsOption.settings);
            try (Store store = connector.connect(settings.region(), settings.replicas(), settings.timeout())) {
                return task.run(new RolloutClient(store, System::currentTimeMillis), settings, store);
            }
        } catch (FleetException e) {
            PrintWriter err = commandSpec.commandLine().getErr();
            err.println(e.getMessage());
            err.flush();
            return 1;
        }
    }

    private int print(List<String> lines) {
        PrintWriter out = commandSpec.commandLine().getOut();
        lines.forEach(out::println);
        out.flush();
        return 0;
    }
}
