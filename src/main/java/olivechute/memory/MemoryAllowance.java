package olivechute.memory;

/**
 * What one holder of buffers may allocate: it reserves the bytes first and releases them when it no longer refers to
 * the buffer. Used by one thread at a time.
 */
public interface MemoryAllowance {
    /** Grants every reservation. */
    MemoryAllowance UNLIMITED = new MemoryAllowance() {
        @Override
        public boolean tryReserve(int bytes) {
            return true;
        }

        @Override
        public void add(int bytes) {
            // nothing is counted
        }

        @Override
        public void release(int bytes) {
            // nothing is counted
        }
    };

    /** Reserves bytes, which may take a moment; returns false if they are not available. */
    boolean tryReserve(int bytes);

    /** Reserves bytes that are held already, whatever the limits are. */
    void add(int bytes);

    /** Releases bytes that were reserved. */
    void release(int bytes);
}
