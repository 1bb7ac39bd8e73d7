package olivechute.controller;

/** Keys and key prefixes of the rollout data in the store; see fleet.proto. */
final class StoreKeys {
    static final String LEADER_LEASE = "lead/rollout";
    static final String BASE_VERSION = "base";
    static final String CURRENT_CHANGE = "change/current";
    static final String PAST_CHANGE_PREFIX = "change/past/";
    static final String VERSION_PREFIX = "version/";
    static final String ORDER_PREFIX = "order/";
    static final String MACHINE_PREFIX = "machine/";
    static final String METRICS_PREFIX = "figures/";

    private StoreKeys() {}
}
