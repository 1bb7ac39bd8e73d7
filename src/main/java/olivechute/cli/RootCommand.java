package olivechute.cli;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import olivechute.benchmark.BenchmarkCommand;
import olivechute.config.InvalidValueException;
import olivechute.config.LogSettings;
import olivechute.config.NodeConfig;
import olivechute.controller.RolloutCommand;
import olivechute.loganalysis.LogAnalysisCommand;
import olivechute.node.NodeLauncher;
import olivechute.simulator.SimulatorAdapter;
import olivechute.supervisor.SupervisorCommand;
import olivechute.testca.TestCaCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The root of the command line. The platform's call of {@code serve} does not go through it and loads none of the
 * command-line library.
 */
@Command(
        name = "olivechute",
        mixinStandardHelpOptions = true,
        versionProvider = RootCommand.Version.class,
        subcommands = {
            RootCommand.Serve.class,
            RootCommand.Bench.class,
            RootCommand.Check.class,
            BenchmarkCommand.class,
            LogAnalysisCommand.class,
            TestCaCommand.class,
            IdentityCommand.class,
            StoreCommand.class,
            SupervisorCommand.class,
            RolloutCommand.class
        },
        description = "A load balancer node that dispatches jobs to sign workers.",
        footer = "Exit status: 0 success, 1 invalid configuration or input, or a reported error, 2 invalid arguments.")
public final class RootCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs the command named by the arguments and returns the exit status. */
    public static int run(String... args) {
        return new CommandLine(new RootCommand()).execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    private static void setSettingsFile(Map<String, String> environment, String settings) {
        if (settings != null) {
            environment.put("OLIVECHUTE_SETTINGS", settings);
        }
    }

    /** {@code serve}: runs a node. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            sortOptions = false,
            description = "Runs a node configured by LB_CONFIG, LB_NAME, LB_LISTEN and LB_DISCOVERY until SIGTERM.",
            footer = "Exit status: 1 invalid configuration or a reported error, 2 invalid arguments, "
                    + "143 after SIGTERM.")
    static final class Serve implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--log", paramLabel = "text|json", description = "Log format; overrides OLIVECHUTE_LOG.")
        private String log;

        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "The operator settings file; overrides OLIVECHUTE_SETTINGS.")
        private String settings;

        @Override
        public Integer call() throws InterruptedException {
            Map<String, String> environment = new HashMap<>(System.getenv());
            try {
                if (log != null) {
                    LogSettings.parse("--log", log);
                    environment.put(LogSettings.FORMAT_VARIABLE, log);
                }
            } catch (InvalidValueException e) {
                throw new ParameterException(spec.commandLine(), e.getMessage());
            }
            setSettingsFile(environment, settings);
            NodeLauncher.launch(environment);
            Thread.currentThread().join(); // the node's threads run until a signal arrives
            return 0;
        }
    }

    /** {@code check}: reads a configuration and prints its errors. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads a configuration as serve would and prints each error with its key.",
            footer = "Exit status: 0 valid configuration, with which a node would start, 1 invalid configuration, "
                    + "2 invalid arguments.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(
                paramLabel = "FILE",
                description = "The file that LB_CONFIG would name; LB_NAME, LB_LISTEN and "
                        + "LB_DISCOVERY override it here too.")
        private String file;

        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "The operator settings file; overrides OLIVECHUTE_SETTINGS.")
        private String settings;

        @Override
        public Integer call() {
            Map<String, String> environment = new HashMap<>(System.getenv());
            environment.put("LB_CONFIG", file);
            setSettingsFile(environment, settings);
            List<String> errors = NodeConfig.validate(environment);
            errors.forEach(spec.commandLine().getErr()::println);
            if (errors.isEmpty()) {
                spec.commandLine().getOut().println(NodeConfig.describeIdentity(environment));
            }
            return errors.isEmpty() ? 0 : 1;
        }
    }

    /** {@code benchlink}: runs the load balancer on the simulator's protocol. */
    @Command(
            name = "benchlink",
            mixinStandardHelpOptions = true,
            description = "Runs the load balancer on the simulator's protocol, on standard input and output.")
    static final class Bench implements Callable<Integer> {
        @Override
        public Integer call() {
            return SimulatorAdapter.run(System.in, System.out, System.err);
        }
    }

    /** Reads the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"olivechute " + RootCommand.class.getPackage().getImplementationVersion()};
        }
    }
}
