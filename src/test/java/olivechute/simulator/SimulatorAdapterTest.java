package olivechute.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks the actions that the adapter writes and the errors that it reports for invalid lines. */
class SimulatorAdapterTest {
    private String errors;
    private int status;

    private String run(String input) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        status = SimulatorAdapter.run(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        errors = err.toString(StandardCharsets.UTF_8);
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String resource(String name) throws IOException {
        try (InputStream in = SimulatorAdapterTest.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    void transcriptProducesTheRecordedReplies() throws IOException {
        assertEquals(resource("/transcript.out"), run(resource("/transcript.in")));
        assertEquals(0, status);
    }

    @Test
    void invalidLineIsReportedWithItsNumber() {
        assertEquals("{\"output\":[]}\n", run("{\"at_time\":1,\"inbox\":[]}\nnot json\n"));
        assertEquals(1, status);
        assertTrue(errors.startsWith("line 2: "), errors);
        run("[1]\n");
        assertEquals("line 1: a batch must be an object", errors.strip());
        run("{\"inbox\":[]}\n");
        assertEquals("line 1: batch.at_time: missing, must be a number", errors.strip());
        run("{\"at_time\":1,\"inbox\":[7]}\n");
        assertEquals("line 1: batch.inbox: must be an array of objects", errors.strip());
    }

    @Test
    void optionalSettingsAreReadAndInvalidOnesAreNamed() throws IOException {
        String prefix = resource("/transcript.in").lines().limit(2).reduce("", (x, y) -> x + y + "\n");
        String withOptionalSettings = prefix.replace(
                        "\"future_key\"",
                        "\"result_mix\":{\"whole\":0.5,\"tail_part\":0.35,\"tail_miss\":0.01},\"future_key\"")
                .replace("\"rules\":{", "\"rules\":{\"only_draining_binds\":true,");
        String laterEvents =
                "{\"at_time\":101,\"inbox\":[{\"m\":\"POOL\",\"ref\":0,\"elements\":[]},{\"m\":\"DIRECTORY_UPDATE\","
                        + "\"i\":\"node-0\",\"scope\":\"replace\",\"stamp\":2,\"ref\":0}]}\n{\"at_time\":101.5,\"inbox\":[{\"m\":\"ARRIVAL\","
                        + "\"i\":\"node-0\",\"ref\":\"00000000000000a1\",\"lane\":\"job\",\"customer\":\"a\",\"left\":5.0,\"slots\":1}]}\n";
        assertTrue(!run(prefix + laterEvents).contains("RELAY"), "an unlisted endpoint must not be used");
        assertTrue(
                run(withOptionalSettings + laterEvents).contains("RELAY"),
                "an unlisted endpoint may be used where only draining binds");
        run(withOptionalSettings.replace("\"tail_miss\":0.01", "\"tail_miss\":1.5"));
        assertEquals("line 2: result_mix.tail_miss: must be from 0 to 1.0", errors.strip());
        run(withOptionalSettings.replace("\"tail_part\":0.35", "\"tail_part\":\"much\""));
        assertEquals("line 2: result_mix.tail_part: must be a number", errors.strip());
        run(withOptionalSettings.replace("\"only_draining_binds\":true", "\"only_draining_binds\":1"));
        assertEquals("line 2: rules.only_draining_binds: must be true or false", errors.strip());
    }

    @Test
    void undefinedEndpointListIsNamed() throws IOException {
        String prefix = resource("/transcript.in").lines().limit(2).reduce("", (x, y) -> x + y + "\n");
        run(
                prefix
                        + "{\"at_time\":101,\"inbox\":[{\"m\":\"DIRECTORY_UPDATE\",\"i\":\"node-0\",\"scope\":\"update\",\"ref\":9}]}\n");
        assertEquals("line 3: POOL 9 was never defined", errors.strip());
        assertEquals(1, status);
    }

    @Test
    void exceptionInTheLoadBalancerIsReportedAsACrash() {
        String out = run("{\"at_time\":1,\"inbox\":[{\"m\":\"PROVISION\",\"i\":\"node-0\",\"init_seed\":1,"
                + "\"profile_data\":{\"profiles\":[]}}]}\n");
        assertTrue(out.contains("\"m\":\"CRASH\"") && out.contains("classes: missing or contradictory"), out);
        assertEquals(0, status);
    }

    @Test
    void eventsOfUnknownOrHaltedInstancesAreIgnored() {
        assertEquals(
                "{\"output\":[]}\n",
                run("{\"at_time\":1,\"inbox\":[{\"m\":\"WAKEUP\",\"i\":\"node-9\",\"mark\":1},"
                        + "{\"m\":\"HALT\",\"i\":\"node-9\"}]}\n"));
    }
}
