package org.chervillift.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import org.chervillift.api.ErrorCode;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.daemon.requests.CallerResponse;

/** Callers that repeat what was not completed, at times at once or with other content. */
final class SoakCallers {

    private static final int MOST_REPEATS = 4;
    private static final int SHORTEST_MILLIS = 200;
    private static final int SPREAD_MILLIS = 5_000;
    private static final int MOST_PAUSE_MILLIS = 2_500;
    private static final int DOUBLE_OF_100 = 10;
    private static final int OTHER_OF_100 = 5;
    private static final int IDEMPOTENT_OF_100 = 30;
    private static final int IDENTIFIED_OF_100 = 60;

    private final SoakWorld world;
    private long lastTag;

    SoakCallers(SoakWorld world) {
        this.world = world;
    }

    private Random random() {
        return world.random();
    }

    private boolean chance(int ofHundred) {
        return random().nextInt(100) < ofHundred;
    }

    /** Makes a first call, of any kind. */
    void call() {
        String operation = "op-" + lastTag;
        if (chance(IDEMPOTENT_OF_100)) {
            send(operation, "c", Optional.empty(), true, a -> {});
        } else if (chance(IDENTIFIED_OF_100)) {
            identified(operation);
        } else {
            send(operation, "c", Optional.empty(), false, a -> {});
        }
    }

    private void identified(String operation) {
        String team = chance(50) ? "alpha" : "beta";
        Optional<ClaimKey> key = Optional.of(ClaimKey.ofTeam(team, operation));
        attempt(operation, key, 0);
        if (chance(DOUBLE_OF_100)) {
            attempt(operation, key, MOST_REPEATS);
        }
        if (chance(OTHER_OF_100)) {
            Optional<ClaimKey> stranger = Optional.of(ClaimKey.ofTeam("gamma", operation));
            send(operation + "-of-gamma", "c", stranger, false, a -> {});
            world.scheduler().schedule(pause(), () -> otherContent(operation, key));
        }
    }

    /** The same identifier with other content runs only where it came first. */
    private void otherContent(String operation, Optional<ClaimKey> key) {
        world.ledger().count("other-content");
        send(operation, "other", key, false, a -> {});
    }

    private void attempt(String operation, Optional<ClaimKey> key, int repeats) {
        send(
                operation,
                "c",
                key,
                false,
                a -> {
                    boolean over = a instanceof CallerResponse.FromUpstream || isReused(a);
                    if (!over && repeats < MOST_REPEATS) {
                        world.scheduler()
                                .schedule(pause(), () -> attempt(operation, key, repeats + 1));
                    }
                });
    }

    private static boolean isReused(CallerResponse answer) {
        return answer instanceof CallerResponse.Generated s
                && s.code() == ErrorCode.IDENTIFIER_REUSED;
    }

    private Duration pause() {
        return Duration.ofMillis(random().nextInt(MOST_PAUSE_MILLIS));
    }

    private void send(
            String operation,
            String content,
            Optional<ClaimKey> key,
            boolean idempotent,
            OnAnswer onAnswer) {
        Instant deadline =
                world.scheduler()
                        .now()
                        .plusMillis(SHORTEST_MILLIS + (long) random().nextInt(SPREAD_MILLIS));
        SoakLedger.Call call =
                new SoakLedger.Call(++lastTag, operation, content, idempotent, deadline);
        world.send(call, key, onAnswer);
    }

    /** Told the answer, or null where the connection was cut. */
    interface OnAnswer {
        void accept(CallerResponse answer);
    }
}
