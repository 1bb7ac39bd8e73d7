package olivechute.store;

import org.pcollections.TreePMap;
import org.pcollections.TreePSet;

/** Immutable table of the held leases, indexed by session, by name and by expiry. */
record LeaseTable(
        TreePMap<Long, LeaseEntry> bySession, TreePMap<String, LeaseEntry> byName, TreePSet<LeaseEntry> byExpiry) {
    static final LeaseTable EMPTY = new LeaseTable(TreePMap.empty(), TreePMap.empty(), TreePSet.empty());

    /** Returns the table with this lease, which replaces the lease of the same name. */
    LeaseTable with(LeaseEntry lease) {
        LeaseEntry replaced = byName.get(lease.name());
        LeaseTable others = replaced == null ? this : without(replaced);
        return new LeaseTable(
                others.bySession.plus(lease.session(), lease),
                others.byName.plus(lease.name(), lease),
                others.byExpiry.plus(lease));
    }

    LeaseTable without(LeaseEntry lease) {
        return new LeaseTable(bySession.minus(lease.session()), byName.minus(lease.name()), byExpiry.minus(lease));
    }

    LeaseEntry findBySession(long session) {
        return bySession.get(session);
    }

    LeaseEntry findByName(String name) {
        return byName.get(name);
    }

    /** Returns the lease that expires next, or null if none is held. */
    LeaseEntry nextToExpire() {
        return byExpiry.isEmpty() ? null : byExpiry.first();
    }

    int size() {
        return bySession.size();
    }
}
