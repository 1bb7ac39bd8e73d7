package olivechute;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one replica of the shared store. */
@Command(name = "store", mixinStandardHelpOptions = true, description = "Runs one replica of the shared store.",
    footer = "Exit status: 0 done, 1 settings that cannot be used or trouble that is told, 2 wrong call.")
final class StoreCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
    private Path settings;

    @Override
    public Integer call() {
        return 2;
    }
}
