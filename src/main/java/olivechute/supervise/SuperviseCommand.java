package olivechute.supervise;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the nodes of one machine as the store orders. */
@Command(name = "supervise", mixinStandardHelpOptions = true, description = "Runs the nodes of one machine as the store orders.",
    footer = "Exit status: 0 done, 1 settings that cannot be used or trouble that is told, 2 wrong call.")
public final class SuperviseCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
    private Path settings;

    @Override
    public Integer call() {
        return 2;
    }
}
