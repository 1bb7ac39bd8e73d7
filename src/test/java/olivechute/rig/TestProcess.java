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
 * One process that the rig started, and those that it started in turn. What it writes to standard output and error is
 * kept, the last few thousand lines of it. Waits end on the line or the end of the process, never by looking again; a
 * {@link RigFault} shows the last lines. All is ended by {@link #close} and at the end of this virtual machine; nothing
 * else is ever signalled.
 */
public final class TestProcess implements AutoCloseable {
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(10);
    private static final Set<ProcessHandle> STARTED = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> STARTED.forEach(ProcessHandle::destroyForcibly), "rig-end"));
    }

    private final ProcessSpec recipe;
    private final Set<ProcessHandle> children = ConcurrentHashMap.newKeySet(); // seen so far, alive or not
    private final OutputLines lines;
    private Process process;
    private Thread reader;
    private long firstLine; // the number of its first line since the last start

    private TestProcess(ProcessSpec recipe) {
        this.recipe = recipe;
        this.lines = new OutputLines(recipe.name());
    }

    /** Starts it. */
    public static TestProcess start(ProcessSpec recipe) {
        TestProcess program = new TestProcess(recipe);
        program.launch(recipe);
        return program;
    }

    private synchronized void launch(ProcessSpec as) {
        ProcessBuilder builder = new ProcessBuilder(as.fullCommand()).redirectErrorStream(true);
        builder.environment().putAll(as.environment());
        firstLine = lines.count();
        int life = lines.onStart();
        try {
            process = builder.start();
        } catch (IOException e) {
            throw new TestSetupException(recipe.name() + " cannot be started", e);
        }
        STARTED.add(process.toHandle());
        Process begun = process;
        reader = Threads.start("rig-" + recipe.name(), () -> read(begun, life));
    }

    private void read(Process of, int life) {
        try (BufferedReader in =
                new BufferedReader(new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lines.add(line);
            }
        } catch (IOException e) {
            lines.add("(the rig lost its output: " + e + ")");
        }
        lines.onEnd(life);
    }

    public String name() {
        return recipe.name();
    }

    public synchronized long pid() {
        return process.pid();
    }

    public synchronized boolean isAlive() {
        return process.isAlive();
    }

    /** Its lines that are still kept. */
    public List<String> lines() {
        return lines.all();
    }

    /** Its lines after a mark that are still kept. */
    public List<String> linesAfter(long mark) {
        return lines.after(mark);
    }

    /** A place in its output, for a wait that should pass over what came before. */
    public long mark() {
        return lines.count();
    }

    /** The first match in a line since its last start; waits for it. */
    public Matcher awaitLine(String regex, Duration within) {
        return awaitLine(regex, firstLine, within);
    }

    /** The first match in a line after a mark; waits for it. */
    public Matcher awaitLine(String regex, long after, Duration within) {
        return lines.await(Pattern.compile(regex), after, within);
    }

    /** SIGKILL. What it started runs on, and is ended with this at the latest. */
    public synchronized void kill() {
        if (process.isAlive()) {
            pause(); // so that it starts nothing between the look at its children and its end
            process.destroyForcibly();
        }
        awaitExit(EXIT_TIMEOUT);
    }

    /** SIGSTOP: it keeps its memory and connections and does nothing. */
    public synchronized void pause() {
        signal("STOP", process.toHandle());
        recordChildren();
    }

    /** SIGCONT. */
    public synchronized void resume() {
        signal("CONT", process.toHandle());
    }

    /** SIGTERM. */
    public synchronized void terminate() {
        signal("TERM", process.toHandle());
    }

    /** Any signal, by its name without SIG. */
    public synchronized void signal(String name) {
        signal(name, process.toHandle());
    }

    /** Its exit status, once it has ended. */
    public int awaitExit(Duration within) {
        Process of;
        synchronized (this) {
            of = process;
        }
        try {
            if (!of.waitFor(within.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new TestSetupException(name() + " runs on after " + within.toMillis() + " ms");
            }
            STARTED.remove(of.toHandle());
            return of.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestSetupException(name() + ": interrupted", e);
        }
    }

    /** Waits until all that an ended process wrote is read. */
    public void awaitOutputEnd() {
        try {
            reader.join(EXIT_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts it again as it was; it must have ended. */
    public synchronized void restart() {
        restart(recipe);
    }

    /** Starts it again with its folder emptied. */
    public synchronized void restartEmpty() {
        if (recipe.directory() == null) {
            throw new TestSetupException(name() + " has no folder of its own");
        }
        recipe.directory().clear();
        restart();
    }

    /** Starts it again in another way; it must have ended. */
    public synchronized void restart(ProcessSpec as) {
        if (process.isAlive()) {
            throw new TestSetupException(name() + " still runs");
        }
        launch(as);
    }

    /** The processes that it started and that live, as far as seen by now. */
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
            throw new TestSetupException("no signal " + name + " to " + to.pid(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestSetupException("interrupted", e);
        }
    }

    /** Ends it and all that it started, at once. */
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
