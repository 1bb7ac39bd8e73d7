package olivechute.soak;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestDirectory;
import olivechute.rig.TestSetupException;

/**
 * Controls the library {@code src/test/c/faultshim.c} in one node process: its fault rates, its clock offset and the
 * events that it recorded.
 */
final class FaultShim {
    private static final Path SOURCE = Path.of("src", "test", "c", "faultshim.c");
    private static final Path LIBRARY = Path.of("target", "faultshim.so").toAbsolutePath();
    private static final int COMPILE_SECONDS = 60;
    /** Offset of the rates in the control file, whose layout is {@code struct control} of the library. */
    private static final int RATES_AT = Long.BYTES;

    private static final int CONTROL_BYTES = 4096;

    /** The faults, in the order of the library's control file. */
    enum Fault {
        READ_INTERRUPTED,
        ACCEPT_FAILS,
        CONNECT_FAILS,
        SOCKET_FAILS,
        SHORT_READ,
        SHORT_WRITE,
        POLL_INTERRUPTED,
        CONNECTION_BREAKS,
        DELAYED_IO,
        FILE_READ_FAILS
    }

    /** An event of a connection that the library recorded; {@code port} is the peer's. */
    record Entry(long atUs, String event, int port, int bytes) {}

    private static boolean compiled;

    private final Path control;
    private final Path log;
    private final long seed;
    private final MappedByteBuffer mapped;

    FaultShim(TestDirectory folder, String name, long seed) {
        compile();
        this.seed = seed;
        this.control = folder.write(name + ".control", "\0".repeat(CONTROL_BYTES));
        this.log = folder.write(name + ".log", "");
        try (FileChannel file = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            mapped = file.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            mapped.order(ByteOrder.nativeOrder());
        } catch (IOException e) {
            throw new TestSetupException("cannot create the control file of " + name, e);
        }
    }

    private static synchronized void compile() {
        if (compiled) {
            return;
        }
        try {
            Files.createDirectories(LIBRARY.getParent());
            Process compiler = new ProcessBuilder(
                            "cc", "-O2", "-shared", "-fPIC", "-o", LIBRARY.toString(), SOURCE.toString(), "-ldl")
                    .inheritIO()
                    .start();
            if (!compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new TestSetupException("cc does not compile " + SOURCE);
            }
        } catch (IOException e) {
            throw new TestSetupException("no C compiler (cc), which the soak test needs", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TestSetupException("interrupted", e);
        }
        compiled = true;
    }

    /** Returns the same process with the library preloaded. */
    ProcessSpec preloadedInto(ProcessSpec spec) {
        return spec.withEnvironment("LD_PRELOAD", LIBRARY.toString())
                .withEnvironment("FAULTSHIM_CONTROL", control.toString())
                .withEnvironment("FAULTSHIM_LOG", log.toString())
                .withEnvironment("FAULTSHIM_SEED", String.valueOf(seed));
    }

    /** Sets how many calls in a million fail in this way. */
    void rate(Fault fault, int perMillion) {
        mapped.putInt(RATES_AT + Integer.BYTES * fault.ordinal(), perMillion);
    }

    /** Sets all fault rates to 0; the clock offset is kept. */
    void clearFaults() {
        for (Fault fault : Fault.values()) {
            rate(fault, 0);
        }
    }

    /** Sets the offset of the process's wall clock from the true time. */
    void clockOffset(Duration offset) {
        mapped.putLong(0, offset.toNanos());
    }

    /** Returns how often each fault was injected. */
    Map<Fault, Integer> injected() {
        Map<Fault, Integer> counts = new EnumMap<>(Fault.class);
        int countsAt = RATES_AT + Integer.BYTES * Fault.values().length;
        for (Fault fault : Fault.values()) {
            counts.put(fault, mapped.getInt(countsAt + Integer.BYTES * fault.ordinal()));
        }
        return counts;
    }

    /** Returns the events recorded so far. */
    List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        try {
            for (String line : Files.readAllLines(log)) {
                String[] parts = line.split(" ");
                entries.add(new Entry(
                        Long.parseLong(parts[0]), parts[1], Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
            }
        } catch (IOException e) {
            throw new TestSetupException("cannot read the log of the fault library", e);
        }
        return entries;
    }
}
