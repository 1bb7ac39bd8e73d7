package olivechute.loadbalancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** The endpoints known to a node, updated from the endpoint list. Used on the event loop only. */
final class EndpointTable {
    /** An endpoint that is no longer listed is removed after this many failures in a row. */
    private static final int FAILURES_TO_REMOVE = 3;

    private static final Comparator<Endpoint> BY_RANK = Comparator.comparingDouble(e -> e.rank);

    private final LoadBalancerSettings settings;
    private final HealthView healthView;
    private final SplittableRandom random;
    private final Map<String, Endpoint> byName = new LinkedHashMap<>();
    private final Collection<Endpoint> all = Collections.unmodifiableCollection(byName.values());
    private final Map<String, EndpointKindStats> statsByKind = new LinkedHashMap<>();
    private final List<Endpoint> local = new ArrayList<>();
    private final List<Endpoint> remote = new ArrayList<>();

    EndpointTable(LoadBalancerSettings settings, HealthView healthView, SplittableRandom random) {
        this.settings = settings;
        this.healthView = healthView;
        this.random = random;
    }

    /** Returns {@code null} if the endpoint is unknown. */
    Endpoint get(String name) {
        return byName.get(name);
    }

    Collection<Endpoint> all() {
        return all;
    }

    int size() {
        return byName.size();
    }

    /** Returns the endpoints of this node's zone, ordered by rank. */
    List<Endpoint> local() {
        return local;
    }

    /** Returns the endpoints of other zones, ordered by rank. */
    List<Endpoint> remote() {
        return remote;
    }

    /** Applies an update of the endpoint list, which must not be {@link ListUpdateKind#FAILED}. */
    void update(ListUpdateKind updateKind, List<EndpointInfo> listed) {
        Set<String> listedNames = new HashSet<>();
        for (EndpointInfo info : listed) {
            Endpoint existing = byName.get(info.name());
            if (existing != null && info.state() == EndpointState.REMOVED && staysAfterRemoval(existing)) {
                existing.unlisted = true;
            } else {
                listedNames.add(info.name());
                update(existing, info);
            }
        }
        if (updateKind != ListUpdateKind.DELTA) {
            removeMissing(listedNames);
        }
        byName.values().removeIf(EndpointTable::isObsolete);
        sortByRank();
    }

    private void update(Endpoint existing, EndpointInfo info) {
        Endpoint endpoint = existing;
        if (existing == null) {
            endpoint = add(info);
        } else if (info.startedAtUs() != existing.info.startedAtUs()) {
            existing.onRestart();
        }
        endpoint.info = info;
        endpoint.health = healthView.endpoint(info.name());
        endpoint.unlisted = false;
    }

    private Endpoint add(EndpointInfo info) {
        EndpointKindStats kindStats =
                statsByKind.computeIfAbsent(String.valueOf(info.kind()), k -> new EndpointKindStats());
        boolean inLocalZone = info.zone() == null || info.zone().equals(settings.zone());
        int classCount = settings.classes().size();
        Endpoint endpoint = new Endpoint(info, kindStats, random.nextDouble(), inLocalZone, classCount);
        byName.put(info.name(), endpoint);
        return endpoint;
    }

    private void removeMissing(Set<String> listedNames) {
        for (Endpoint endpoint : byName.values()) {
            if (!listedNames.contains(endpoint.name())) {
                endpoint.unlisted = staysAfterRemoval(endpoint);
                if (!endpoint.unlisted) {
                    endpoint.markRemoved();
                }
            }
        }
    }

    /**
     * Returns whether an endpoint that was removed or is missing from the list remains in use. If
     * {@link ServiceRules#keepsUnlistedEndpoints()}, a removal proves nothing about an endpoint that was never listed
     * as draining, and it is used until its own outcomes show otherwise. Guards against lists that lose endpoints, or a
     * whole zone, that still serve; costs some failed connects if the endpoints are really gone.
     */
    private boolean staysAfterRemoval(Endpoint endpoint) {
        return settings.rules().keepsUnlistedEndpoints() && endpoint.active();
    }

    private static boolean isObsolete(Endpoint endpoint) {
        boolean removed = endpoint.info.state() == EndpointState.REMOVED;
        boolean unlistedAndFailing = endpoint.unlisted && endpoint.outlierState.failureCount >= FAILURES_TO_REMOVE;
        return endpoint.attempts.isEmpty() && (removed || unlistedAndFailing);
    }

    private void sortByRank() {
        local.clear();
        remote.clear();
        byName.values().stream().sorted(BY_RANK).forEach(e -> (e.inLocalZone ? local : remote).add(e));
    }
}
