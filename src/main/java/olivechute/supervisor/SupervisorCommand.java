package olivechute.supervisor;

import java.io.File;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.Callable;
import olivechute.error.FleetException;
import olivechute.store.raft.RatisStore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The {@code supervise} command: runs a {@link Supervisor} for the nodes of one machine until a signal ends the
 * process.
 */
@Command(
        name = "supervise",
        mixinStandardHelpOptions = true,
        description = "Runs the nodes of one machine according to the orders in the store.",
        footer = "Exit status: 1 invalid settings or a reported error, 2 invalid arguments, "
                + "143 after SIGTERM, once its nodes have ended.")
public final class SupervisorCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--settings",
            required = true,
            paramLabel = "FILE",
            description = "Settings in HOCON; deploy/supervise.conf has every key.")
    private Path settingsFile;

    @Override
    public Integer call() throws InterruptedException, URISyntaxException {
        try {
            SupervisorSettings settings = SupervisorSettings.load(settingsFile);
            String defaultJar = settings.programJar() != null
                    ? settings.programJar()
                    : new File(SupervisorCommand.class
                                    .getProtectionDomain()
                                    .getCodeSource()
                                    .getLocation()
                                    .toURI())
                            .getPath();
            Supervisor supervisor = new Supervisor(
                    settings,
                    RatisStore.connect(settings.region(), settings.replicas(), settings.storeTimeout()),
                    defaultJar,
                    new Random(),
                    System::currentTimeMillis,
                    System.out::println);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeOnShutdown(supervisor), "end"));
            supervisor.start();
        } catch (FleetException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
        Thread.currentThread().join(); // the supervisor's threads run until a signal
        return 0;
    }

    private static void closeOnShutdown(Supervisor supervisor) {
        try {
            supervisor.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
