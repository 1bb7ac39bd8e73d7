package olivechute.loganalysis;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The {@code count} command: prints counts across the logs of a fleet's nodes. */
@Command(
        name = "count",
        mixinStandardHelpOptions = true,
        description =
                "Counts across the logs of a fleet, one file NODE.log for each, written with OLIVECHUTE_LOG_LEVEL=debug.",
        footer = "Exit status: 0 success, 1 no logs found or a reported error, 2 invalid arguments.")
public final class LogAnalysisCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FOLDER", description = "The folder of the logs.")
    private Path folder;

    @Override
    public Integer call() {
        FleetLogAnalysis analysis = new FleetLogAnalysis();
        int files = 0;
        try (DirectoryStream<Path> logs = Files.newDirectoryStream(folder, "*.log")) {
            for (Path log : logs) {
                files++;
                read(analysis, log);
            }
        } catch (IOException e) {
            spec.commandLine().getErr().println("FOLDER: cannot be read: " + e.getMessage());
            return 1;
        }
        if (files == 0) {
            spec.commandLine().getErr().println("FOLDER: contains no file NODE.log");
            return 1;
        }
        analysis.report().forEach(spec.commandLine().getOut()::println);
        return 0;
    }

    /** Reads one log. It may end in the middle of a line or of a character: the complete lines count. */
    private static void read(FleetLogAnalysis analysis, Path log) throws IOException {
        String node = log.getFileName().toString().replaceFirst("\\.log$", "");
        try (Stream<String> lines = Files.lines(log, StandardCharsets.ISO_8859_1)) {
            lines.map(LogEntry::parse).filter(entry -> entry != null).forEach(entry -> analysis.add(node, entry));
        }
    }
}
