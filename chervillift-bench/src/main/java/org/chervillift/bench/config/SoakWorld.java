package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.Row;
import org.chervillift.bench.internal.ConditionBrokenException;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.keys.FreshnessRules;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.ManualScheduler;

/** The processes, the store and the network of one run, and the invariants that it must keep. */
final class SoakWorld {

    /** A withdrawn key takes no new work after this time from the operator's answer. */
    static final Duration WITHDRAWAL_BOUND = Duration.ofSeconds(5);

    static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");

    private static final int PROCESSES_A_DATA_CENTRE = 3;
    private static final int GATEWAYS = 2;

    private final long seed;
    private final FreshnessRules rules;
    private final ManualScheduler time = new ManualScheduler();
    private final FakeStore store = new FakeStore();
    private final FaultyNetwork network;
    private final Random random;
    private final List<List<SoakProcess>> processes = new ArrayList<>();
    private final Map<Long, String> digests = new HashMap<>();
    private final Map<String, Instant> withdrawn = new HashMap<>();
    private final Set<String> inForce = new HashSet<>();
    private Optional<String> failure = Optional.empty();
    private long headVersion;
    private int lives;

    SoakWorld(long seed, FreshnessRules rules) {
        this.rules = rules;
        this.seed = seed;
        this.random = new Random(seed);
        this.network = new FaultyNetwork(time, random);
        for (String dataCentre : DATA_CENTRES) {
            List<SoakProcess> here = new ArrayList<>();
            processes.add(here);
            for (int i = 0; i < PROCESSES_A_DATA_CENTRE; i++) {
                here.add(newProcess(nextName(), dataCentre));
            }
        }
    }

    FreshnessRules rules() {
        return rules;
    }

    ManualScheduler time() {
        return time;
    }

    FakeStore store() {
        return store;
    }

    FaultyNetwork network() {
        return network;
    }

    Random random() {
        return random;
    }

    List<SoakProcess> live() {
        return processes.stream().flatMap(List::stream).filter(SoakProcess::alive).toList();
    }

    SoakProcess anyone() {
        List<SoakProcess> live = live();
        return live.get(random.nextInt(live.size()));
    }

    /** All in the same data centre, and a few pairs between two data centres. */
    List<SoakProcess> peersOf(SoakProcess process) {
        int own = DATA_CENTRES.indexOf(process.dataCentre());
        int place = processes.get(own).indexOf(process);
        List<SoakProcess> peers = new ArrayList<>();
        for (int i = 0; i < processes.size(); i++) {
            for (int j = 0; j < processes.get(i).size(); j++) {
                boolean linked = i == own ? j != place : j == place && j < GATEWAYS;
                if (linked && processes.get(i).get(j).alive()) {
                    peers.add(processes.get(i).get(j));
                }
            }
        }
        return peers;
    }

    /** Replaces a process by another life, of the same VM or of a new one. */
    void replace(SoakProcess process, boolean sameVm) {
        for (List<SoakProcess> here : processes) {
            int place = here.indexOf(process);
            if (place >= 0) {
                String name = sameVm ? process.id() : nextName();
                here.set(place, newProcess(name, process.dataCentre()));
            }
        }
    }

    private SoakProcess newProcess(String name, String dataCentre) {
        SoakProcess process = new SoakProcess(name, dataCentre, this, random);
        process.clock().schedule(Duration.ofMillis(1 + random.nextInt(500)), process::start);
        return process;
    }

    private String nextName() {
        lives++;
        return "entry-" + lives;
    }

    void grantAnswered(String key) {
        inForce.add(key);
    }

    void withdrawalAsked(String key) {
        inForce.remove(key);
    }

    void withdrawalAnswered(String key) {
        withdrawn.putIfAbsent(key, time.now());
    }

    /** Returns a key that was granted and that nobody withdraws. */
    Set<String> keysInForce() {
        return inForce;
    }

    /** Checks that no process takes a key past the bound. */
    void checkKeys() {
        for (SoakProcess p : live()) {
            if (p.clock().paused()) {
                continue;
            }
            withdrawn.forEach(
                    (key, at) -> {
                        if (time.now().isAfter(at.plus(WITHDRAWAL_BOUND)) && p.takes(key)) {
                            broken(p.id() + " took a key withdrawn at " + at);
                        }
                    });
        }
        withdrawn.values().removeIf(at -> at.plusSeconds(120).isBefore(time.now()));
    }

    /** Checks that a process never goes back, and that a version has one content. */
    void adopted(SoakProcess process, long before, long version, String digest) {
        if (version <= before) {
            broken(process.id() + " went from version " + before + " to " + version);
        }
        String known = digests.putIfAbsent(version, digest);
        if (known != null && !known.equals(digest)) {
            broken("version " + version + " has two contents");
        }
    }

    /** Checks that the head only grows, and that head, history, object and rows fit. */
    void afterCommit() {
        List<Row> rows = store.read(List.of(ConfigRows.HEAD_KEY));
        if (rows.isEmpty()) {
            return;
        }
        ConfigHead head = Json.decode(rows.get(0).value(), ConfigHead.class);
        if (head.version() == headVersion) {
            return;
        }
        if (head.version() != headVersion + 1) {
            broken("the head went from " + headVersion + " to " + head.version());
        }
        headVersion = head.version();
        checkWhole(head);
    }

    private void checkWhole(ConfigHead head) {
        List<Row> history = store.read(List.of(ConfigRows.historyKey(head.version())));
        FleetConfig content =
                store.object(head.object())
                        .map(t -> Json.decode(t, FleetConfig.class))
                        .orElse(FleetConfig.EMPTY);
        Set<String> vms =
                content.vms().stream().map(VmSpec::id).collect(Collectors.toUnmodifiableSet());
        Set<String> rows =
                store.scan(VmRow.TABLE).stream()
                        .map(r -> r.key().key())
                        .collect(Collectors.toUnmodifiableSet());
        boolean whole =
                history.size() == 1
                        && content.version() == head.version()
                        && ConfigDigest.of(content).equals(head.digest())
                        && vms.equals(rows);
        if (!whole) {
            broken("version " + head.version() + " is there in part");
        }
    }

    long headVersion() {
        return headVersion;
    }

    /** Notes that an invariant is broken; the run ends at its next step. */
    void broken(String what) {
        if (failure.isEmpty()) {
            failure = Optional.of(what + " at " + time.now());
        }
    }

    /** Ends the run if an invariant is broken. */
    void checkBroken() {
        if (failure.isPresent()) {
            throw new ConditionBrokenException(failure.get(), seed);
        }
    }
}
