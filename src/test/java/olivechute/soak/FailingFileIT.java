package olivechute.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import olivechute.rig.ProcessSpec;
import olivechute.rig.TestDirectory;
import olivechute.rig.TestNodes;
import olivechute.rig.TestProcess;
import org.junit.jupiter.api.Test;

/** Tests a node whose configuration file is temporarily unreadable (EIO). */
class FailingFileIT {
    private static final int ALWAYS_PER_MILLION = 1_000_000;
    private static final long FAULT_MILLIS = 700; // less than the second for which a node retries to read the file
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private interface Scenario {
        void play(TestProcess node, FaultShim shim, Path config) throws Exception;
    }

    private static void play(boolean failsAtStart, Scenario test) throws Exception {
        try (TestDirectory folder = new TestDirectory("failing-file");
                TestNodes nodes = new TestNodes(1, 1)) {
            FaultShim shim = new FaultShim(folder, "n0", 1);
            shim.rate(FaultShim.Fault.FILE_READ_FAILS, failsAtStart ? ALWAYS_PER_MILLION : 0);
            ProcessSpec spec = ProcessSpec.jar("n0", ProcessSpec.JAR, "serve")
                    .withEnvironment("LB_CONFIG", nodes.config("n0").toString());
            try (TestProcess node = TestProcess.start(shim.preloadedInto(spec))) {
                test.play(node, shim, nodes.config("n0"));
            }
        }
    }

    @Test
    void startRetriesAnUnreadableConfiguration() throws Exception {
        play(true, (node, shim, config) -> {
            Thread.sleep(FAULT_MILLIS);
            shim.clearFaults();
            node.awaitLine("n0 listens on ", TIMEOUT);
        });
    }

    @Test
    void reloadRetriesAnUnreadableConfiguration() throws Exception {
        play(false, (node, shim, config) -> {
            node.awaitLine("n0 listens on ", TIMEOUT);
            shim.rate(FaultShim.Fault.FILE_READ_FAILS, ALWAYS_PER_MILLION);
            Files.writeString(
                    config,
                    Files.readString(config)
                            .replaceFirst("\"discovery\":\"[0-9.:]+\"", "\"discovery\":\"127.0.0.1:9\""));
            node.signal("HUP");
            Thread.sleep(FAULT_MILLIS);
            shim.clearFaults();
            node.awaitLine("discovery moves to .*127.0.0.1:9", TIMEOUT);
        });
    }
}
