package olivechute.loadbalancing;

/**
 * A tenant.
 *
 * @param name name by which requests refer to the tenant
 * @param share its share of the service, from 0 to 1
 * @param quotaPerSecond requests per second that the whole fleet guarantees it; 0 for no quota
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
