package olivechute.rig;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A temporary directory that serves as a process's disk, with helpers that inject disk faults. {@link #close} deletes
 * it.
 */
public final class TestDirectory implements AutoCloseable {
    private static final Path FULL = Path.of("/dev/full");

    private final Path path;

    /** Creates a directory whose name contains {@code name}. */
    public TestDirectory(String name) {
        try {
            path = Files.createTempDirectory("olivechute-" + name + "-");
        } catch (IOException e) {
            throw new TestSetupException("cannot create a directory for " + name, e);
        }
    }

    public Path path() {
        return path;
    }

    /** Returns the path of a file or directory in this one. */
    public Path resolve(String name) {
        return path.resolve(name);
    }

    /** Writes a file in this directory and returns its path. */
    public Path write(String name, String text) {
        try {
            Files.createDirectories(resolve(name).getParent());
            return Files.writeString(resolve(name), text);
        } catch (IOException e) {
            throw new TestSetupException("cannot write " + resolve(name), e);
        }
    }

    /** Creates a file to which every write fails with ENOSPC. */
    public Path createFullFile(String name) {
        try {
            Files.deleteIfExists(resolve(name));
            return Files.createSymbolicLink(resolve(name), FULL);
        } catch (IOException e) {
            throw new TestSetupException("cannot link " + resolve(name), e);
        }
    }

    /**
     * Returns a prefix for {@link ProcessSpec#withPrefix}: the process may write no file beyond this many blocks of 512
     * bytes; SIGXFSZ is ignored.
     */
    public static List<String> fileLimit(int blocks) {
        return List.of("/bin/sh", "-c", "trap '' XFSZ; ulimit -f " + blocks + "; exec \"$@\"", "sh");
    }

    /** Inverts all bits of one byte of a file; a negative position counts from its end. */
    public static void flipByte(Path file, long at) {
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            long place = at < 0 ? open.length() + at : at;
            open.seek(place);
            int old = open.read();
            if (old < 0) {
                throw new TestSetupException(file + " has no byte " + at);
            }
            open.seek(place);
            open.write(~old);
        } catch (IOException e) {
            throw new TestSetupException("cannot change " + file, e);
        }
    }

    /** Removes this many bytes from the end of a file, as an interrupted write leaves it. */
    public static void truncate(Path file, long bytes) {
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            open.setLength(Math.max(0, open.length() - bytes));
        } catch (IOException e) {
            throw new TestSetupException("cannot truncate " + file, e);
        }
    }

    /** Returns the files whose relative path matches. */
    public List<Path> files(String regex) {
        try (Stream<Path> all = Files.walk(path)) {
            return all.filter(Files::isRegularFile)
                    .filter(f -> path.relativize(f).toString().matches(regex))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new TestSetupException("cannot read " + path, e);
        }
    }

    /** Deletes all contents. */
    public void clear() {
        if (!Files.isDirectory(path)) {
            return;
        }
        try (Stream<Path> all = Files.walk(path)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                if (!each.equals(path)) {
                    Files.deleteIfExists(each);
                }
            }
        } catch (IOException e) {
            throw new TestSetupException("cannot clear " + path, e);
        }
    }

    @Override
    public void close() {
        clear();
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            throw new TestSetupException("cannot remove " + path, e);
        }
    }
}
