package olivechute.supervisor;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A process of a node, started here or by an earlier supervisor. {@code started} is the {@link LaunchSpec} that its
 * environment tells of, {@code since} the length of its log at its start.
 */
record NodeProcess(
        ProcessHandle handle,
        CompletableFuture<Integer> exitStatus,
        NodeLog log,
        long logOffset,
        Path configFile,
        LaunchSpec initialLaunch) {
    /** ms by which the machine's clock may tell the start of one process apart when asked twice. */
    private static final long START_TIME_TOLERANCE_MS = 2000;

    /** Starts a jar as a node; it writes its log itself. */
    static NodeProcess start(
            List<String> javaCommand, LaunchSpec launch, Map<String, String> environment, NodeLog log, Path configFile)
            throws IOException {
        List<String> command = new ArrayList<>(javaCommand);
        command.addAll(List.of("-jar", launch.program(), "serve"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.file().toFile()));
        builder.environment().remove("LB_DISCOVERY"); // it would come before the file's
        builder.environment().putAll(environment);
        long logOffset = log.size();
        Process process = builder.start();
        return new NodeProcess(
                process.toHandle(), process.onExit().thenApply(Process::exitValue), log, logOffset, configFile, launch);
    }

    /** The process that an earlier supervisor noted; empty where it ended or its pid is another's now. */
    static Optional<NodeProcess> find(SupervisorStateFile.ProcessRecord stored, NodeLog log) {
        return ProcessHandle.of(stored.pid())
                .filter(ProcessHandle::isAlive)
                .filter(handle -> Math.abs(startTimeMs(handle) - stored.startedMs()) <= START_TIME_TOLERANCE_MS)
                .map(handle -> new NodeProcess(
                        handle,
                        handle.onExit().thenApply(h -> null),
                        log,
                        log.size(),
                        Path.of(stored.configFile()),
                        stored.launch()));
    }

    private static long startTimeMs(ProcessHandle handle) {
        return handle.info().startInstant().map(Instant::toEpochMilli).orElse(0L);
    }

    SupervisorStateFile.ProcessRecord toRecord(String address, LaunchSpec launch) {
        return new SupervisorStateFile.ProcessRecord(
                handle.pid(), startTimeMs(handle), address, configFile.toString(), launch);
    }

    /** Has it read its configuration again. */
    void sendHangup() throws IOException {
        new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + handle.pid()).start();
    }

    /** Waits for its end; false once that takes longer than so many ms. */
    boolean waitForExit(long timeoutMs) throws InterruptedException {
        try {
            exitStatus.get(timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            return true;
        }
    }
}
