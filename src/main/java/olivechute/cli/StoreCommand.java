package olivechute.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import olivechute.controller.ControllerSettings;
import olivechute.controller.RolloutController;
import olivechute.error.FleetException;
import olivechute.metrics.DelayBuckets;
import olivechute.store.raft.RatisStore;
import olivechute.store.raft.Replica;
import olivechute.store.raft.ReplicaSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The {@code store} command: runs one replica of the shared store, and the rollout controller, which is active on the
 * replica that leads.
 */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Runs one replica of the shared store.",
        footer = "Exit status: 1 invalid settings or a reported error, 2 invalid arguments, 143 after SIGTERM.")
final class StoreCommand implements Callable<Integer> {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
    private Path settings;

    @Override
    public Integer call() {
        try {
            ReplicaSettings replicaSettings = ReplicaSettings.load(settings);
            ControllerSettings controllerSettings = ControllerSettings.load(settings, DelayBuckets.UPPER_BOUNDS);
            Replica replica = new Replica(replicaSettings, this::print);
            replica.start();
            Runtime.getRuntime().addShutdownHook(new Thread(replica::close, "close"));
            // The controller uses the store as any other client does; running in the leader's process only saves it a
            // network hop.
            new RolloutController(
                            RatisStore.connect(replicaSettings.region(), replicaSettings.replicas(), REQUEST_TIMEOUT),
                            replica::isLeader,
                            System::currentTimeMillis,
                            controllerSettings,
                            replicaSettings.id())
                    .start();
            FleetException failure = replica.terminated().join();
            if (failure == null) {
                return 0;
            }
            print(failure.getMessage());
        } catch (FleetException e) {
            spec.commandLine().getErr().println(e.getMessage());
        }
        return 1;
    }

    private synchronized void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
