package olivechute.store;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import java.util.zip.CheckedInputStream;
import java.util.zip.CheckedOutputStream;
import olivechute.error.DiskException;
import olivechute.error.ErrorCode;

/**
 * A file as pieces: each its length (4 bytes, big end first), its bytes, and the CRC32C of everything in the file
 * before that sum. A piece of length 0 ends it, so the last sum is over all. A reader thus knows which piece is the
 * first that is not as written.
 */
final class SnapshotFrames {
    private SnapshotFrames() {}

    /** Writes pieces; the stream stays open. */
    static final class Writer {
        private final CheckedOutputStream checked;
        private final DataOutputStream out;

        Writer(OutputStream output) {
            checked = new CheckedOutputStream(output, new CRC32C());
            out = new DataOutputStream(checked);
        }

        /** One piece, not empty. */
        void writeFrame(byte[] content) throws IOException {
            out.writeInt(content.length);
            out.write(content);
            out.writeInt((int) checked.getChecksum().getValue());
        }

        void finish() throws IOException {
            writeFrame(new byte[0]);
            out.flush();
        }
    }

    /** Reads pieces. */
    static final class Reader {
        private final CheckedInputStream in;
        private long offset;
        private long frameOffset;
        private int frameNumber;

        Reader(InputStream input) {
            in = new CheckedInputStream(input, new CRC32C());
        }

        /** The next piece, empty for the end. */
        byte[] readFrame() throws IOException, DiskException {
            frameNumber++;
            frameOffset = offset;
            int length = ByteBuffer.wrap(readBytes(Integer.BYTES)).getInt();
            if (length < 0) {
                throw corruptFrame("has the length " + length);
            }
            byte[] content = readBytes(length);
            int checksum = (int) in.getChecksum().getValue();
            if (ByteBuffer.wrap(readBytes(Integer.BYTES)).getInt() != checksum) {
                throw corruptFrame("is not as written: its sum differs");
            }
            if (length == 0 && in.read() >= 0) {
                throw corruptFrame("is the last one, but more follows it");
            }
            return content;
        }

        /** A fault in the piece that was read last. */
        DiskException corruptFrame(String problem) {
            return new DiskException(
                    ErrorCode.DATA_CORRUPT,
                    "snapshot: piece " + frameNumber + ", which begins at byte " + frameOffset + ", " + problem);
        }

        private byte[] readBytes(int count) throws IOException, DiskException {
            byte[] bytes = in.readNBytes(count);
            offset += bytes.length;
            if (bytes.length < count) {
                throw corruptFrame("is torn: the file ends at byte " + offset + ", " + (count - bytes.length)
                        + " bytes or more are missing");
            }
            return bytes;
        }
    }
}
