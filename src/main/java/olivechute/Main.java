package olivechute;

import olivechute.cli.FleetClassLoader;
import olivechute.cli.RootCommand;
import olivechute.node.NodeLauncher;
import olivechute.simulator.SimulatorAdapter;

/**
 * Entry point of the program. {@code serve} and {@code benchlink} without further arguments, as the platform calls
 * them, start directly and load no command-line library; every other call goes through {@link RootCommand}.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the named command; exits with 2 on invalid arguments, 1 on an invalid configuration or input line or another
     * reported error, and 0 on success, such as at the end of the input.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(SimulatorAdapter.run(System.in, System.out, System.err));
            case "serve" -> {
                requireFlagsOfThisMachine();
                NodeLauncher.launch(System.getenv());
            }
            default ->
                System.exit(
                        args.length > 0 && FleetClassLoader.COMMANDS.contains(args[0])
                                ? FleetClassLoader.run(args)
                                : RootCommand.run(args));
        }
    }

    /**
     * Ends a program whose flags the build wrote on another kind of machine, as after a copy of {@code target}: on
     * x86-64 its connections would need more memory than their limit counts on. The other way round the JVM refuses the
     * flags itself.
     */
    private static void requireFlagsOfThisMachine() {
        String machine = System.getProperty("olivechute.machine");
        if (machine != null && !machine.equals(System.getProperty("os.arch"))) {
            System.err.println("target/node.flags: of another kind of machine (" + machine + ", this JVM is "
                    + System.getProperty("os.arch") + "): remove target and build again");
            System.exit(1);
        }
    }
}
