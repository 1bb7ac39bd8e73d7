package olivechute.store;

import com.google.protobuf.ByteString;

/** Computes the sizes of keys and values in bytes, as counted against the store's limits. */
final class EntrySizes {
    private EntrySizes() {}

    /** Returns the length of a text in UTF-8; each half of a surrogate pair counts as two bytes. */
    static int sizeInBytes(String text) {
        int bytes = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }

    static long sizeInBytes(String key, ByteString value) {
        return (long) sizeInBytes(key) + value.size();
    }
}
