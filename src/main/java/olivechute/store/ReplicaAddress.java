package olivechute.store;

/**
 * A replica of the store: its id and the address on which it listens for other replicas and for clients, as
 * ADDRESS:PORT of loopback or of a private network.
 */
public record ReplicaAddress(String id, String address) {}
