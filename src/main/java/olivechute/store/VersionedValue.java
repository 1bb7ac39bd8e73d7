package olivechute.store;

import com.google.protobuf.ByteString;

/**
 * A stored value, with the store's version at its last change and the session that its key belongs to, or 0 for none.
 */
record VersionedValue(ByteString value, long version, long session) {}
