package org.chervillift.core.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;

/**
 * Chooses another entry VM for a request that finds no free slot here.
 *
 * <p>Entry VMs of the same data centre are preferred. One that had no free slot or did not answer
 * is skipped for a while, so that a fully loaded fleet causes few relay messages. Not thread-safe.
 */
public final class RelayChooser {

    private static final int MAX_IN_FLIGHT = 64;

    private final RoutingSettings settings;
    private final String entryVm;
    private final String dataCentre;
    private final Map<String, Instant> skippedUntilByVmAndPool = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    private List<EntryVm> sameDataCentre = List.of();
    private List<EntryVm> otherDataCentres = List.of();

    /** Creates a chooser that knows no other entry VM. */
    public RelayChooser(RoutingSettings settings, String entryVm, String dataCentre) {
        this.settings = Checks.notNull("settings", settings);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
    }

    /** Replaces the known live entry VMs of the fleet. */
    public void update(List<EntryVm> entryVms) {
        List<EntryVm> others =
                entryVms.stream().filter(e -> !e.id().equals(entryVm)).distinct().toList();
        sameDataCentre = others.stream().filter(e -> e.dataCentre().equals(dataCentre)).toList();
        otherDataCentres = others.stream().filter(e -> !e.dataCentre().equals(dataCentre)).toList();
        skippedUntilByVmAndPool
                .keySet()
                .removeIf(k -> others.stream().noneMatch(e -> isKeyOf(k, e)));
    }

    private static boolean isKeyOf(String key, EntryVm vm) {
        return key.startsWith(vm.id() + "/");
    }

    /** Chooses an entry VM that may have a free slot in a pool. */
    public Optional<EntryVm> choose(
            String pool, Set<String> tried, RandomGenerator random, Instant now) {
        return pickRandom(sameDataCentre, pool, tried, random, now)
                .or(() -> pickRandom(otherDataCentres, pool, tried, random, now))
                .map(this::recordStart);
    }

    private Optional<EntryVm> pickRandom(
            List<EntryVm> candidates,
            String pool,
            Set<String> tried,
            RandomGenerator random,
            Instant now) {
        List<EntryVm> eligible = new ArrayList<>();
        for (EntryVm e : candidates) {
            Instant skipUntil =
                    skippedUntilByVmAndPool.getOrDefault(e.id() + "/" + pool, Instant.MIN);
            boolean isFull = inFlight.getOrDefault(e.id(), 0) >= MAX_IN_FLIGHT;
            if (!isFull && !tried.contains(e.id()) && !now.isBefore(skipUntil)) {
                eligible.add(e);
            }
        }
        return eligible.isEmpty()
                ? Optional.empty()
                : Optional.of(eligible.get(random.nextInt(eligible.size())));
    }

    private EntryVm recordStart(EntryVm vm) {
        inFlight.merge(vm.id(), 1, Integer::sum);
        return vm;
    }

    /**
     * Records the end of a relayed attempt.
     *
     * @param answered whether the entry VM returned the answer of an upstream
     */
    public void relayEnded(String vm, String pool, boolean answered, Instant now) {
        inFlight.computeIfPresent(vm, (k, n) -> n > 1 ? n - 1 : null);
        if (!answered) {
            skippedUntilByVmAndPool.put(vm + "/" + pool, now.plus(settings.relayBackoff()));
        }
    }
}
