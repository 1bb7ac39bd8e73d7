package olivechute.rollout;

import java.util.Map;

/** The next state of a change, and the orders that go out with it in one write: version by node. */
public record RolloutDecision(RolloutState nextState, Map<String, String> orders) {}
