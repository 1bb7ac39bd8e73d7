package olivechute.rig;

import java.util.ArrayList;
import java.util.List;

/** Programs that fall, stand still and wake together with all that they started, as on one machine. */
public final class TestMachine implements AutoCloseable {
    private final String name;
    private final List<TestProcess> programs = new ArrayList<>();

    public TestMachine(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** Puts a program on it; returns that. */
    public synchronized TestProcess add(TestProcess program) {
        programs.add(program);
        return program;
    }

    /** SIGSTOP to all. */
    public synchronized void pause() {
        programs.forEach(TestProcess::pause);
        children().forEach(child -> TestProcess.signal("STOP", child));
    }

    /** SIGCONT to all. */
    public synchronized void resume() {
        children().forEach(child -> TestProcess.signal("CONT", child));
        programs.forEach(TestProcess::resume);
    }

    /** SIGKILL to all: its connections are reset. */
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
