package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.MessageLite;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import olivechute.RecordedEncodings;
import olivechute.store.wire.Command;
import org.junit.jupiter.api.Test;

/**
 * Tests compatibility: commands in the log and snapshots of the state that an earlier build wrote are read, and are
 * still written with the same bytes.
 */
class StoredCommandsTest {
    private static final long SESSION = 3;
    private static final long CLOCK_MS = 1_700_000_000_000L;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, Command> commands(long session) throws Exception {
        Store.Lease lease = new Store.Lease("machine/m1", "m1/owner", session, Duration.ofMinutes(10));
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("announce", StoreMessages.announce("r1", 1));
        commands.put("raise", StoreMessages.raiseLevel(1));
        commands.put("acquire", StoreMessages.acquire("machine/m1", "m1/owner", Duration.ofMinutes(10)));
        commands.put(
                "batch",
                StoreMessages.batch(
                        List.of(
                                Store.Write.put("base", bytes("v1")),
                                Store.Write.putIf("order/n1", bytes("one"), 0),
                                new Store.Write("machine/m1", bytes("report"), null, session),
                                Store.Write.put("gone", bytes("x"))),
                        List.of(lease.fence())));
        commands.put("delete", StoreMessages.batch(List.of(Store.Write.delete("gone")), List.of()));
        commands.put("renew", StoreMessages.renew(lease));
        commands.put("tick", StoreMessages.tick());
        commands.put("release", StoreMessages.release(lease));
        return commands;
    }

    private static StoreState sampleState() throws Exception {
        StoreStateMachine machine = new StoreStateMachine(StoreLimits.DEFAULTS);
        StoreState state = StoreState.EMPTY;
        long index = 1;
        for (String name : List.of("announce", "raise", "acquire", "batch", "delete", "renew", "tick")) {
            long session = state.leases().size() == 0
                    ? SESSION
                    : state.leases().findByName("machine/m1").session();
            Command command = StoreMessages.withClock(commands(session).get(name), CLOCK_MS + index);
            state = machine.apply(state, command, index++).state();
        }
        return state;
    }

    @Test
    void commandEncodingIsUnchanged() throws Exception {
        for (Map.Entry<String, Command> each : commands(SESSION).entrySet()) {
            MessageLite stamped = StoreMessages.withClock(each.getValue(), CLOCK_MS);
            RecordedEncodings.assertWritten("command-" + each.getKey(), stamped.toByteArray());
            assertEquals(stamped, Command.parseFrom(RecordedEncodings.recorded("command-" + each.getKey())));
        }
    }

    @Test
    void snapshotEncodingIsUnchanged() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SnapshotCodec.write(sampleState(), out);
        RecordedEncodings.assertWritten("snapshot", out.toByteArray());
        StoreState read = SnapshotCodec.read(new ByteArrayInputStream(RecordedEncodings.recorded("snapshot")));
        assertArrayEquals(bytes("one"), read.entries().get("order/n1").value().toByteArray());
        ByteArrayOutputStream again = new ByteArrayOutputStream();
        SnapshotCodec.write(read, again);
        RecordedEncodings.assertWritten("snapshot", again.toByteArray());
    }
}
