package olivechute.rollout;

import java.util.Map;

/** The next state of a rollout, and the orders to write with it in one transaction: version by node. */
public record RolloutDecision(RolloutState nextState, Map<String, String> orders) {}
