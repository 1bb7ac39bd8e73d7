package olivechute.store;

import olivechute.store.wire.Reply;

/** Result of a command: the state after it and the reply to the client that sent it. */
public record CommandResult(StoreState state, Reply reply) {}
