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
 * File format of a sequence of frames. Each frame is its length (4 bytes, big-endian), its content, and the CRC32C of
 * all bytes of the file before the checksum. A frame of length 0 ends the file, so the last checksum covers all of it.
 * A reader can thus tell which frame is the first damaged one.
 */
final class SnapshotFrames {
    private SnapshotFrames() {}

    /** Writes frames; the stream stays open. */
    static final class Writer {
        private final CheckedOutputStream checked;
        private final DataOutputStream out;

        Writer(OutputStream output) {
            checked = new CheckedOutputStream(output, new CRC32C());
            out = new DataOutputStream(checked);
        }

        /** Writes one frame, which must not be empty. */
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

    /** Reads frames and verifies their checksums. */
    static final class Reader {
        private final CheckedInputStream in;
        private long offset;
        private long frameOffset;
        private int frameNumber;

        Reader(InputStream input) {
            in = new CheckedInputStream(input, new CRC32C());
        }

        /** Returns the content of the next frame, empty at the end of the file. */
        byte[] readFrame() throws IOException, DiskException {
            frameNumber++;
            frameOffset = offset;
            int length = ByteBuffer.wrap(readBytes(Integer.BYTES)).getInt();
            if (length < 0) {
                throw corruptFrame("has the invalid length " + length);
            }
            byte[] content = readBytes(length);
            int checksum = (int) in.getChecksum().getValue();
            if (ByteBuffer.wrap(readBytes(Integer.BYTES)).getInt() != checksum) {
                throw corruptFrame("has a wrong checksum");
            }
            if (length == 0 && in.read() >= 0) {
                throw corruptFrame("is the last one, but more data follows");
            }
            return content;
        }

        /** Returns an exception that names the frame read last. */
        DiskException corruptFrame(String problem) {
            return new DiskException(
                    ErrorCode.DATA_CORRUPT,
                    "snapshot: frame " + frameNumber + ", which starts at byte " + frameOffset + ", " + problem);
        }

        private byte[] readBytes(int count) throws IOException, DiskException {
            byte[] bytes = in.readNBytes(count);
            offset += bytes.length;
            if (bytes.length < count) {
                throw corruptFrame("is truncated: the file ends at byte " + offset + ", " + (count - bytes.length)
                        + " bytes or more are missing");
            }
            return bytes;
        }
    }
}
