package olivechute.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import olivechute.net.Threads;

/**
 * A process started by the test harness, and its descendants. The last few thousand lines of its standard output and
 * error are retained. Waits end when the line appears or the process ends, without polling; a
 * {@link TestSetupException} shows the last lines. {@link #close} and the shutdown of this virtual machine end all of
 * these processes; no other process is signalled.
 */
public final class TestProcess implements AutoCloseable {
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(10);
    private static final Set<ProcessHandle> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(ProcessHandle::destroyForcibly), "rig-end"));
    }

    private final ProcessSpec initialSpec;
    private final Set<ProcessHandle> children =
            ConcurrentHashMap.newKeySet(); // all descendants seen so far, alive or not
    private final OutputLines lines;
    private Process process;
    private Thread reader;
    private long firstLine; // number of the first line since the last start

    private TestProcess(ProcessSpec initialSpec) {
        this.initialSpec = initialSpec;
        this.lines = new OutputLines(initialSpec.name());
    }

    /** Starts a process. */
    public static TestProcess start(ProcessSpec spec) {
        TestProcess program = new TestProcess(spec);
        program.launch(spec);
        return program;
    }

    private synchronized void launch(ProcessSpec spec) {
        ProcessBuilder builder = new ProcessBuilder(spec.fullCommand()).redirectErrorStream(true);
        builder.environment().putAll(spec.environment());
        firstLine = lines.count();
        int startNumber = lines.onStart();
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new TestSetupException(initialSpec.name() + " cannot be started", e);
        }
        STARTED.add(process.toHandle());
        Process begun = process;
        reader = Threads.start("rig-" + initialSpec.name(), () -> read(begun, startNumber));
    }

    private void read(Process of, int startNumber) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.add(line);
            }
        } catch (IOException e) {
            lines.add("(reading the output failed: " + e + ")");
        }
        lines.onEnd(startNumber);
    }

    public String name() {
        return initialSpec.name();
    }

    public synchronized long pid() {
        return process.pid();
    }

    public synchronized boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the retained output lines. */
    public List<String> lines() {
        return lines.all();
    }

    /** Returns the retained output lines after a mark. */
    public List<String> linesAfter(long mark) {
        return lines.after(mark);
    }

    /** Returns the current position in the output, for waits that should skip earlier lines. */
    public long mark() {
        return lines.count();
    }

    /** Waits for the first line since the last start that contains the pattern and returns the match. */
    public Matcher awaitLine(String regex, Duration within) {
        return awaitLine(regex, firstLine, within);
    }

    /** Waits for the first line after a mark that contains the pattern and returns the match. */
    public Matcher awaitLine(String regex, long after, Duration within) {
        return lines.await(Pattern.compile(regex), after, within);
    }

    /** Sends SIGKILL. Descendants keep running until {@link #close} at the latest. */
    public synchronized void kill() {
        if (process.isAlive()) {
            pause(); // so that it starts no process between the listing of its descendants and its end
            process.destroyForcibly();
        }
        awaitExit(EXIT_TIMEOUT);
    }

    /** Sends SIGSTOP: the process keeps its memory and connections but does not run. */
    public synchronized void pause() {
        signal("STOP", process.toHandle());
        recordChildren();
    }

    /** Sends SIGCONT. */
    public synchronized void resume() {
        signal("CONT", process.toHandle());
    }

    /** Sends SIGTERM. */
    public synchronized void terminate() {
        signal("TERM", process.toHandle());
    }

    /** Sends a signal, given by its name without SIG. */
    public synchronized void signal(String name) {
        signal(name, process.toHandle());
    }

    /** Waits for the end of the process and returns its exit status. */
    public int awaitExit(Duration within) {
        Process of;
        synchronized (this) {
            of = process;
        }
        try {
            if (!of.waitFor(within.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new TestSetupException(name() + " still runs after " + within.toMillis() + " ms");
            }
            STARTED.remove(of.toHandle());
            return of.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestSetupException(name() + ": interrupted", e);
        }
    }

    /** Waits until all output of an ended process has been read. */
    public void awaitOutputEnd() {
        try {
            reader.join(EXIT_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Restarts the process, which must have ended. */
    public synchronized void restart() {
        restart(initialSpec);
    }

    /** Restarts the process with its directory cleared. */
    public synchronized void restartEmpty() {
        if (initialSpec.directory() == null) {
            throw new TestSetupException(name() + " has no directory of its own");
        }
        initialSpec.directory().clear();
        restart();
    }

    /** Restarts the process, which must have ended, with another specification. */
    public synchronized void restart(ProcessSpec spec) {
        if (process.isAlive()) {
            throw new TestSetupException(name() + " still runs");
        }
        launch(spec);
    }

    /** Returns the live descendants seen so far. */
    public synchronized List<ProcessHandle> children() {
        recordChildren();
        return children.stream().filter(ProcessHandle::isAlive).toList();
    }

    private void recordChildren() {
        try (Stream<ProcessHandle> now = process.descendants()) {
            now.forEach(child -> {
                children.add(child);
                STARTED.add(child);
            });
        }
    }

    static void signal(String name, ProcessHandle to) {
        if (!to.isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + to.pid())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new TestSetupException("cannot send signal " + name + " to " + to.pid(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestSetupException("interrupted", e);
        }
    }

    /** Kills the process and all its descendants. */
    @Override
    public void close() {
        kill();
        for (ProcessHandle child : new ArrayList<>(children)) {
            child.destroyForcibly();
            child.onExit().orTimeout(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
            STARTED.remove(child);
        }
        children.clear();
        awaitOutputEnd();
    }
}
