package olivechute.rig;

import java.util.ArrayList;
import java.util.List;

/** A group of processes that are paused, resumed and killed together with all their descendants, as on one machine. */
public final class TestMachine implements AutoCloseable {
    private final String name;
    private final List<TestProcess> programs = new ArrayList<>();

    public TestMachine(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** Adds a process to this machine and returns it. */
    public synchronized TestProcess add(TestProcess program) {
        programs.add(program);
        return program;
    }

    /** Sends SIGSTOP to all processes. */
    public synchronized void pause() {
        programs.forEach(TestProcess::pause);
        children().forEach(child -> TestProcess.signal("STOP", child));
    }

    /** Sends SIGCONT to all processes. */
    public synchronized void resume() {
        children().forEach(child -> TestProcess.signal("CONT", child));
        programs.forEach(TestProcess::resume);
    }

    /** Sends SIGKILL to all processes, which resets their connections. */
    public synchronized void kill() {
        programs.forEach(TestProcess::pause);
        List<ProcessHandle> children = children();
        programs.forEach(TestProcess::kill);
        children.forEach(ProcessHandle::destroyForcibly);
        children.forEach(child -> child.onExit().join());
    }

    private List<ProcessHandle> children() {
        return programs.stream().flatMap(program -> program.children().stream()).toList();
    }

    @Override
    public synchronized void close() {
        programs.forEach(TestProcess::close);
    }
}
