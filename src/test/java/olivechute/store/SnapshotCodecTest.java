package olivechute.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;
import olivechute.store.wire.Entry;
import olivechute.store.wire.Snapshot;
import org.junit.jupiter.api.Test;

/** Tests snapshot files: a written state is read back, and damaged or invalid files are rejected. */
class SnapshotCodecTest {
    private static final int SMALL_FRAME_BYTES = 20;

    private static StoreState sampleState() throws Exception {
        StoreStateMachine machine = new StoreStateMachine(CommandGenerator.TIGHT_LIMITS, 2);
        StoreState state = StoreState.EMPTY;
        CommandGenerator generator = new CommandGenerator(7);
        for (int i = 1; i <= 1000; i++) {
            state = machine.apply(state, generator.next(state), i).state();
            if (i > 100
                    && state.entries().size() >= 4
                    && !state.keysBySession().isEmpty()
                    && state.announcedLevels().size() == 2) {
                return state;
            }
        }
        throw new AssertionError("no generated state has entries, sessions and announced levels");
    }

    private static DiskException assertReadFails(byte[] file) {
        return assertThrows(DiskException.class, () -> StateChecks.restore(file));
    }

    private static byte[] snapshotOf(Snapshot... frames) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        SnapshotFrames.Writer writer = new SnapshotFrames.Writer(out);
        for (Snapshot frame : frames) {
            writer.writeFrame(frame.toByteArray());
        }
        writer.finish();
        return out.toByteArray();
    }

    @Test
    void stateRoundTrips() throws Exception {
        StoreState state = sampleState();
        assertEquals(
                StateChecks.withoutHistory(state),
                StateChecks.restore(StateChecks.snapshotBytes(state, SMALL_FRAME_BYTES)));
        assertEquals(StateChecks.withoutHistory(state), StateChecks.restore(StateChecks.snapshotBytes(state, 1 << 20)));
        assertEquals(
                StoreState.EMPTY, StateChecks.restore(StateChecks.snapshotBytes(StoreState.EMPTY, SMALL_FRAME_BYTES)));
    }

    @Test
    void truncatedFileIsRejected() throws Exception {
        byte[] file = StateChecks.snapshotBytes(sampleState(), SMALL_FRAME_BYTES);
        for (int length = 0; length < file.length; length++) {
            DiskException fault = assertReadFails(Arrays.copyOf(file, length));
            assertEquals(ErrorCode.DATA_CORRUPT, fault.code());
            assertTrue(fault.subject().contains("the file ends at byte " + length), fault.subject());
        }
        assertEquals(
                ErrorCode.DATA_CORRUPT,
                assertReadFails(Arrays.copyOf(file, file.length + 1)).code());
    }

    /** Flips every bit of the file; the error must name the frame that holds the bit. */
    @Test
    void anyFlippedBitIsRejected() throws Exception {
        byte[] file = StateChecks.snapshotBytes(sampleState(), SMALL_FRAME_BYTES);
        int frameOffset = 0;
        int frameNumber = 1;
        for (int offset = 0; offset < file.length; offset++) {
            int frameEnd = frameOffset + 8 + (file[frameOffset + 2] << 8) + file[frameOffset + 3];
            if (offset == frameEnd) {
                frameOffset = frameEnd;
                frameNumber++;
            }
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = file.clone();
                flipped[offset] ^= (byte) (1 << bit);
                DiskException fault = assertReadFails(flipped);
                assertEquals(ErrorCode.DATA_CORRUPT, fault.code(), fault.subject());
                assertTrue(
                        fault.subject()
                                .startsWith("snapshot: frame " + frameNumber + ", which starts at byte " + frameOffset
                                        + ", "),
                        fault.subject());
            }
        }
        assertTrue(frameNumber > 8, frameNumber + " frames");
    }

    @Test
    void newerFormatIsDistinguishedFromCorruption() throws Exception {
        DiskException fault =
                assertReadFails(snapshotOf(Snapshot.newBuilder().setFormat(2).build()));
        assertEquals(ErrorCode.LEVEL_TOO_LOW, fault.code());
        assertTrue(fault.subject().contains("format 2"), fault.subject());
    }

    @Test
    void invalidContentWithValidChecksumIsRejected() throws Exception {
        Snapshot header = Snapshot.newBuilder().setFormat(1).setVersion(5).build();
        Entry entry = Entry.newBuilder()
                .setKey("a")
                .setValue(ByteString.EMPTY)
                .setVersion(5)
                .build();
        Snapshot valid =
                Snapshot.newBuilder().addEntries(entry).addEntrySessions(0).build();
        assertEquals(1, StateChecks.restore(snapshotOf(header, valid)).entries().size());
        byte[][] invalid = {
            snapshotOf(),
            snapshotOf(valid),
            snapshotOf(header, valid, valid),
            snapshotOf(header, valid.toBuilder().setEntrySessions(0, 3).build()),
            snapshotOf(header, valid.toBuilder().addEntrySessions(0).build()),
            snapshotOf(
                    header,
                    valid.toBuilder()
                            .setEntries(0, entry.toBuilder().setVersion(6))
                            .build())
        };
        for (byte[] file : invalid) {
            assertEquals(ErrorCode.DATA_CORRUPT, assertReadFails(file).code());
        }
    }
}
