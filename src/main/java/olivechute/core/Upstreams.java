package olivechute.core;

/** The upstream hosts. Called on the event loop only; none of these may block, what becomes of them comes as events. */
public interface Upstreams {
    /** Where the hosts are, after each change of the list. */
    void listed(HostList list);

    /** Starts an upstream request, to end in one {@link Event.AttemptEnded} or a {@link Event.JobNews} that ends it. */
    void send(UpstreamRequest request);

    /** Gives an upstream request up: by closing its connection before it is accepted, by a word to the host after. */
    void giveUp(UpstreamRequest request, boolean accepted);

    /** How long a handshake may keep an upstream request from its host, in microseconds: 0 but for the first, written, on its connection. */
    long handshake(UpstreamRequest request);

    /**
     * Gives up an upstream request whose connection fell silent, by closing that and, if it was written, by a word to the host, which
     * may have accepted it all the same. It ends as could-not-connect where nothing was written, as silent once the host has answered
     * that word, and as untold where no answer comes.
     */
    void withdraw(UpstreamRequest request);

    /** Closes the connections to a host that carry nothing. */
    void closeIdle(String host);
}
