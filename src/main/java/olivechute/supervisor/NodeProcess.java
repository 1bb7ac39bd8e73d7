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
 * The operating system process of a node, started by this supervisor or by an earlier one.
 *
 * @param exitStatus completes when the process exits; with null for a process of an earlier supervisor
 * @param logOffset length of the log when the process was started or adopted
 * @param initialLaunch the {@link LaunchSpec} that it was started with or, for a process of an earlier supervisor, the
 *     recorded one
 */
record NodeProcess(
        ProcessHandle handle,
        CompletableFuture<Integer> exitStatus,
        NodeLog log,
        long logOffset,
        Path configFile,
        LaunchSpec initialLaunch) {
    /** Maximum difference between two readings of the start time of one process, in milliseconds. */
    private static final long START_TIME_TOLERANCE_MS = 2000;

    /** Starts a jar as a node; the process writes its log file itself. */
    static NodeProcess start(
            List<String> javaCommand, LaunchSpec launch, Map<String, String> environment, NodeLog log, Path configFile)
            throws IOException {
        List<String> command = new ArrayList<>(javaCommand);
        command.addAll(List.of("-jar", launch.program(), "serve"));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.file().toFile()));
        builder.environment().remove("LB_DISCOVERY"); // would take precedence over the configuration file
        builder.environment().putAll(environment);
        long logOffset = log.size();
        Process process = builder.start();
        return new NodeProcess(
                process.toHandle(), process.onExit().thenApply(Process::exitValue), log, logOffset, configFile, launch);
    }

    /**
     * Finds the process that an earlier supervisor recorded; empty if it exited or its pid belongs to another process
     * now.
     */
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

    /** Makes the process read its configuration again. */
    void sendHangup() throws IOException {
        new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + handle.pid()).start();
    }

    /** Waits for the exit of the process; false on timeout. */
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
