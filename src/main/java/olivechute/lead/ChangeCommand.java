package olivechute.lead;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Proposes, shows, pauses, resumes and stops a change of the fleet. */
@Command(name = "change", mixinStandardHelpOptions = true, description = "Proposes, shows, pauses, resumes and stops a change of the fleet.",
    footer = "Exit status: 0 done, 1 settings that cannot be used or trouble that is told, 2 wrong call.")
public final class ChangeCommand implements Callable<Integer> {
    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings in HOCON.")
    private Path settings;

    @Override
    public Integer call() {
        return 2;
    }
}
