package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Team;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.platform.Row;
import org.chervillift.bench.config.SoakFigures.Waiting;
import org.chervillift.core.config.ApplyDecision;
import org.chervillift.core.config.ApplyRequest;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.config.Confirmation;
import org.chervillift.core.keys.GeneratedKey;
import org.chervillift.daemon.internal.config.ApplyOutcome;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.daemon.internal.keys.KeyChangeOutcome;
import org.chervillift.http.Json;

/** Two operators who race each other, repeat what was not answered, and send old sheets. */
final class SoakOperators {

    private static final int SHEETS_KEPT = 6;
    private static final int LOST_ONE_IN = 8;

    private final SoakWorld world;
    private final SoakFigures figures;
    private final List<ApplyRequest> sheets = new ArrayList<>();
    private final List<GeneratedKey> keys = new ArrayList<>();
    private final Map<String, Integer> sends = new HashMap<>();
    private int counter;

    SoakOperators(SoakWorld world, SoakFigures figures) {
        this.world = world;
        this.figures = figures;
    }

    void start(String operator) {
        Duration pause = Duration.ofMillis(300 + world.random().nextInt(6_000));
        world.time()
                .schedule(
                        pause,
                        () -> {
                            act(operator);
                            start(operator);
                        });
    }

    private void act(String operator) {
        switch (world.random().nextInt(6)) {
            case 0, 1 -> applyNew(operator);
            case 2 -> applyOld(operator);
            case 3, 4 -> grant();
            default -> withdraw();
        }
    }

    private void applyNew(String operator) {
        counter++;
        int vms = 4 + world.random().nextInt(3);
        List<VmSpec> specs = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            specs.add(new VmSpec("vm-" + i, "pool", "dc-a", "rack", "127.0.0.1:" + (9000 + i), 8));
        }
        FleetConfig content =
                new FleetConfig(
                        0,
                        List.of(new Team("team", 1, counter)),
                        List.of(new Pool("pool", 50, false)),
                        List.of(),
                        specs,
                        List.of());
        long base = Math.max(0, world.headVersion() - world.random().nextInt(2));
        ApplyRequest request = new ApplyRequest(content, base, Set.of("remove-1", "remove-2"));
        sheets.add(request);
        if (sheets.size() > SHEETS_KEPT) {
            sheets.remove(0);
        }
        apply(operator, request);
    }

    private void applyOld(String operator) {
        if (!sheets.isEmpty()) {
            apply(operator, sheets.get(world.random().nextInt(sheets.size())));
        }
    }

    private void apply(String operator, ApplyRequest request) {
        SoakProcess process = world.anyone();
        String digest = ConfigDigest.of(request.content());
        Optional<ConfigHead> before = headOf(digest);
        sends.merge(digest, 1, Integer::sum);
        process.clock()
                .run(
                        () ->
                                process.configs()
                                        .apply(request, operator)
                                        .thenAccept(o -> checkApply(o, request, digest, before)));
    }

    private void checkApply(
            ApplyOutcome outcome,
            ApplyRequest request,
            String digest,
            Optional<ConfigHead> before) {
        figures.applies++;
        switch (outcome) {
            case ApplyOutcome.Applied a -> applied(a, request, digest);
            case ApplyOutcome.NotWritten n -> notWritten(n.decision());
            case ApplyOutcome.PoolsInUse p -> world.broken("no pool was removed");
            case ApplyOutcome.Unavailable u -> {
                boolean appeared = before.isEmpty() && headOf(digest).isPresent();
                if (!u.mayHaveTakenEffect() && appeared && sends.get(digest) == 1) {
                    world.broken("an apply was called not in force, but it is");
                }
                figures.unavailable++;
            }
        }
    }

    private void applied(ApplyOutcome.Applied a, ApplyRequest request, String digest) {
        long version = a.head().version();
        if (version != request.baseVersion() + 1) {
            world.broken("version " + version + " came of base " + request.baseVersion());
        }
        List<Row> rows = world.store().read(List.of(ConfigRows.historyKey(version)));
        if (rows.isEmpty()
                || !Json.decode(rows.get(0).value(), ConfigHead.class).digest().equals(digest)) {
            world.broken("version " + version + " was answered, but it is not there");
        }
        figures.applied++;
        if (world.network().whole()) {
            figures.waiting.add(new Waiting(version, world.time().now()));
        }
    }

    private void notWritten(ApplyDecision decision) {
        switch (decision) {
            case ApplyDecision.AlreadyCurrent a -> figures.alreadyInForce++;
            case ApplyDecision.Superseded r -> figures.conflicts++;
            case ApplyDecision.BaseStale o -> figures.conflicts++;
            case ApplyDecision.BaseUnknown u -> figures.conflicts++;
            case ApplyDecision.ConfirmationRequired u -> {
                for (Confirmation c : u.missing()) {
                    if (!c.word().startsWith("revert-to-")) {
                        world.broken("unexpected word " + c.word());
                    }
                }
                figures.unconfirmed++;
            }
            case ApplyDecision.Write w -> world.broken("a write was not made");
        }
    }

    private Optional<ConfigHead> headOf(String digest) {
        for (long v = Math.max(1, world.headVersion() - 20); v <= world.headVersion(); v++) {
            for (Row r : world.store().read(List.of(ConfigRows.historyKey(v)))) {
                ConfigHead head = Json.decode(r.value(), ConfigHead.class);
                if (head.digest().equals(digest)) {
                    return Optional.of(head);
                }
            }
        }
        return Optional.empty();
    }

    private void grant() {
        GeneratedKey key = GeneratedKey.generate("team", world.random());
        SoakProcess process = world.anyone();
        process.clock()
                .run(
                        () ->
                                process.keys()
                                        .grant(key.grant())
                                        .thenAccept(
                                                o -> {
                                                    if (o instanceof KeyChangeOutcome.Succeeded) {
                                                        keys.add(key);
                                                        world.grantAnswered(key.key());
                                                    }
                                                }));
    }

    private void withdraw() {
        if (keys.size() < 2) {
            return;
        }
        GeneratedKey key = keys.get(world.random().nextInt(keys.size()));
        withdraw(key, 3);
    }

    /** Asks again elsewhere when the answer was lost or no process could say. */
    private void withdraw(GeneratedKey key, int triesLeft) {
        world.withdrawalAsked(key.key());
        SoakProcess process = world.anyone();
        Instant asked = world.time().now();
        process.clock()
                .run(
                        () ->
                                process.keys()
                                        .withdraw(key.grant().id())
                                        .thenAccept(o -> withdrawn(o, key, triesLeft, asked)));
    }

    private void withdrawn(
            KeyChangeOutcome outcome, GeneratedKey key, int triesLeft, Instant asked) {
        boolean lost = world.random().nextInt(LOST_ONE_IN) == 0;
        if (outcome instanceof KeyChangeOutcome.Succeeded && !lost) {
            keys.remove(key);
            world.withdrawalAnswered(key.key());
            figures.withdrawalAnswered(Duration.between(asked, world.time().now()));
        } else if (triesLeft > 0) {
            figures.withdrawalsRepeated++;
            withdraw(key, triesLeft - 1);
        }
    }
}
