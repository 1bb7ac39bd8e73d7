package olivechute.benchmark;

import com.sun.management.OperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.management.JMException;
import javax.management.ObjectName;

/**
 * Main class of the measured process: starts the node, then answers each line on standard input: {@code objects} with
 * the number of objects on the heap, {@code classes} with a heap histogram, any other line with the resources that the
 * process has used since its start. Without thread-local allocation buffers, the fill level of the young generation is
 * the sum of all allocations, those of ended threads included, as long as there is no garbage collection.
 */
public final class NodeProbe {
    /** Prefix that tells answers from the node's log lines. */
    static final String ANSWER_PREFIX = "@cost ";

    private NodeProbe() {}

    /** Starts {@code serve} of the first jar on the class path, and answers until the input ends. */
    public static void main(String[] args) throws Exception {
        MemoryPoolMXBean eden = ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(p -> p.getName().contains("Eden") || p.getName().contains("Epsilon"))
                .findFirst()
                .orElse(null);
        List<GarbageCollectorMXBean> collectors = ManagementFactory.getGarbageCollectorMXBeans();
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        Class.forName("olivechute.Main").getMethod("main", String[].class).invoke(null, (Object)
                new String[] {"serve"});
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.equals("objects")) {
                System.out.println(ANSWER_PREFIX + histogramTotal());
            } else if (line.equals("classes")) {
                System.out.println(histogram() + ANSWER_PREFIX + "end");
            } else {
                long collections = 0;
                for (GarbageCollectorMXBean c : collectors) {
                    collections += Math.max(0, c.getCollectionCount());
                }
                System.out.println(
                        ANSWER_PREFIX + (eden == null ? 0 : eden.getUsage().getUsed()) + " " + collections + " "
                                + system.getProcessCpuTime() / 1000 + " " + io("syscr") + " " + io("syscw") + " "
                                + voluntarySwitches()
                                + " "
                                + CopyCounter.totals());
            }
        }
        Runtime.getRuntime().halt(0);
    }

    private static long io(String key) {
        return kernelCounter(Path.of("/proc/self/io"), key);
    }

    /** Returns the voluntary context switches of the threads that still run. */
    private static long voluntarySwitches() {
        long sum = 0;
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(Path.of("/proc/self/task"))) {
            for (Path task : tasks) {
                sum += kernelCounter(task.resolve("status"), "voluntary_ctxt_switches");
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return sum;
    }

    /** Returns a value from one of the kernel's files, or 0 if the file no longer exists. */
    static long kernelCounter(Path file, String key) {
        try {
            for (String line : Files.readAllLines(file, StandardCharsets.US_ASCII)) {
                if (line.startsWith(key + ":")) {
                    return Long.parseLong(
                            line.substring(key.length() + 1).replace("kB", "").strip());
                }
            }
        } catch (IOException ended) {
            return 0;
        }
        return 0;
    }

    private static String histogram() throws JMException {
        return (String) ManagementFactory.getPlatformMBeanServer()
                .invoke(
                        new ObjectName("com.sun.management:type=DiagnosticCommand"),
                        "gcClassHistogram",
                        new Object[] {new String[] {"-all"}},
                        new String[] {String[].class.getName()});
    }

    private static long histogramTotal() throws JMException {
        String[] last = histogram().strip().split("\n");
        return Long.parseLong(last[last.length - 1].strip().split("\\s+")[1]);
    }
}
