package olivechute.rig;

import java.util.ArrayList;
import java.util.List;

/** Programs that fall, stand still and wake together with all that they started, as on one machine. */
public final class Machine implements AutoCloseable {
    private final String name;
    private final List<Program> programs = new ArrayList<>();

    public Machine(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** Puts a program on it; returns that. */
    public synchronized Program add(Program program) {
        programs.add(program);
        return program;
    }

    /** SIGSTOP to all. */
    public synchronized void pause() {
        programs.forEach(Program::pause);
        children().forEach(child -> Program.signal("STOP", child));
    }

    /** SIGCONT to all. */
    public synchronized void resume() {
        children().forEach(child -> Program.signal("CONT", child));
        programs.forEach(Program::resume);
    }

    /** SIGKILL to all: its connections are reset. */
    public synchronized void kill() {
        programs.forEach(Program::pause);
        List<ProcessHandle> children = children();
        programs.forEach(Program::kill);
        children.forEach(ProcessHandle::destroyForcibly);
        children.forEach(child -> child.onExit().join());
    }

    private List<ProcessHandle> children() {
        return programs.stream().flatMap(program -> program.children().stream()).toList();
    }

    @Override
    public synchronized void close() {
        programs.forEach(Program::close);
    }
}
