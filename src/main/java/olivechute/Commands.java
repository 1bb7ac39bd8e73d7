package olivechute;

import java.util.concurrent.Callable;
import olivechute.benchlink.BenchLink;
import olivechute.cost.CostCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The command line in full. {@code serve} as the platform calls it never comes here, and so loads none of it. */
@Command(name = "olivechute", mixinStandardHelpOptions = true, versionProvider = Commands.Version.class,
    subcommands = {Commands.Bench.class, CostCommand.class},
    description = "A load balancer node that dispatches jobs to sign workers.",
    footer = "Exit status: 0 done, 1 a configuration or input that cannot be used, 2 wrong call.")
final class Commands implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    /** Runs what the arguments name; returns the exit status. */
    static int run(String... args) {
        return new CommandLine(new Commands()).execute(args);
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    @Command(name = "benchlink", mixinStandardHelpOptions = true,
        description = "Runs the decisions on the simulator's wire, on standard input and output.")
    static final class Bench implements Callable<Integer> {
        @Override
        public Integer call() {
            return BenchLink.run(System.in, System.out, System.err);
        }
    }

    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            return new String[] {"olivechute " + Commands.class.getPackage().getImplementationVersion()};
        }
    }
}
