package olivechute.benchmark;

import java.util.Arrays;

/** The benchmark scenarios: each is one way in which requests or connections arrive in service. */
enum Scenario {
    BODY_1K("1k", "a body of 1 KiB", 1024),
    BODY_64K("64k", "a body of 64 KiB, written at once", 64 * 1024),
    PIECES("64k-pieces", "64 KiB in pieces of 256 bytes, a write each", 64 * 1024),
    CHUNKED("chunked", "4 KiB in chunks of 512 bytes", 4096),
    HEAD_OCTETS("head-octets", "a head in single bytes", 1024),
    REFUSED("refused", "a request that the node rejects at once", 1024),
    TURNED_AWAY("turned-away", "a request that endpoints reject twice before it is served", 1024),
    PARALLEL("64-clients", "a body of 1 KiB on 64 connections at once", 1024),
    NEWS_ON_NEW("news-on-new", "job status events on a new connection each", 1024),
    SILENT("silent", "a connection opened and closed without data", 0),
    SHED("shed", "a connection shed at the connection limit", 0);

    /** Enough endpoints that those in backoff after a rejection are never all of them. */
    private static final int MANY_ENDPOINTS = 24;

    private final String key;
    private final String description;
    private final int body;

    Scenario(String key, String description, int body) {
        this.key = key;
        this.description = description;
        this.body = body;
    }

    /** Returns the name in tables and records. */
    String key() {
        return key;
    }

    String description() {
        return description;
    }

    /** Returns the body length of a request in bytes. */
    int body() {
        return body;
    }

    int clients() {
        return this == PARALLEL ? 64 : 1;
    }

    int endpoints() {
        return this == TURNED_AWAY || this == PARALLEL ? MANY_ENDPOINTS : 1;
    }

    int rejectionsPerRequest() {
        return this == TURNED_AWAY ? 2 : 0;
    }

    boolean newConnectionPerStatusEvent() {
        return this == NEWS_ON_NEW;
    }

    boolean connectionsOnly() {
        return this == SILENT || this == SHED;
    }

    /** Returns whether an endpoint accepts the request in the end. */
    boolean reachesEndpoint() {
        return this != REFUSED && !connectionsOnly();
    }

    /**
     * Returns the descriptor limit in the node's configuration: low for the scenario that reaches the connection limit.
     */
    int maxSockets() {
        return this == SHED ? 160 : 1024;
    }

    /** Returns the total number of requests of a short run. */
    int requests() {
        return switch (this) {
            case BODY_64K, PIECES, HEAD_OCTETS -> 100;
            case TURNED_AWAY -> 6;
            case PARALLEL -> 1280;
            default -> 400;
        };
    }

    /**
     * Returns the factor by which this scenario's timing-dependent counts vary more than those of other scenarios, as
     * measured in 20 runs of each; see docs/cost-design.md.
     */
    double marginFactor() {
        return switch (this) {
            case BODY_64K -> 2;
            case PIECES -> 4; // depends on how many pieces are read at once
            case PARALLEL -> 5;
            case HEAD_OCTETS -> 8;
            case TURNED_AWAY -> 35; // depends on how long a request is queued until an endpoint's backoff ends
            default -> 1;
        };
    }

    static Scenario of(String key) {
        return Arrays.stream(values())
                .filter(s -> s.key.equals(key))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("scenario: unknown '" + key + "'"));
    }
}
