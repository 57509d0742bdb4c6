package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chervillift.api.platform.PlatformException;
import org.chervillift.runtime.supervision.Scheduler;

/** The way between processes and the platform: slow, late, lossy, or cut. */
final class SimNetwork {

    /** The longest time that a call can be under way before it takes effect. */
    static final Duration MOST_DELAY = Duration.ofSeconds(30);

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration MOST_REPEAT_DELAY = Duration.ofMinutes(4);
    private static final double LATE_PART = 0.01;
    private static final int USUAL_MOST_MILLIS = 20;

    private final Scheduler base;
    private final RandomGenerator random;
    private final double repeatPart;
    private Instant downUntil = Instant.EPOCH;
    private Instant lossyUntil = Instant.EPOCH;
    private boolean calm;

    SimNetwork(Scheduler base, RandomGenerator random, double repeatPart) {
        this.repeatPart = repeatPart;
        this.base = base;
        this.random = random;
    }

    void takeDown(Duration time) {
        downUntil = base.now().plus(time);
    }

    void loseReplies(Duration time) {
        lossyUntil = base.now().plus(time);
    }

    /** Ends all faults. */
    void calm() {
        calm = true;
        downUntil = Instant.EPOCH;
        lossyUntil = Instant.EPOCH;
    }

    /** Calls the platform from a process. */
    <T> CompletionStage<T> call(Scheduler process, Supplier<T> operation) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        process.schedule(
                millis(1), () -> base.schedule(delay(), () -> arrive(process, operation, answer)));
        process.schedule(
                TIMEOUT,
                () -> answer.completeExceptionally(new PlatformException("Timed out.", null)));
        return answer;
    }

    /** Calls the platform; the call may arrive a second time, minutes later. */
    <T> CompletionStage<T> callPerhapsTwice(Scheduler process, Supplier<T> operation) {
        if (!calm && random.nextDouble() < repeatPart) {
            int most = (int) MOST_REPEAT_DELAY.toMillis();
            base.schedule(millis(random.nextInt(most)), operation::get);
        }
        return call(process, operation);
    }

    private <T> void arrive(Scheduler process, Supplier<T> operation, CompletableFuture<T> answer) {
        if (base.now().isBefore(downUntil)) {
            return;
        }
        T value = operation.get();
        boolean lost = base.now().isBefore(lossyUntil) && random.nextInt(3) == 0;
        if (!lost) {
            process.schedule(delay(), () -> answer.complete(value));
        }
    }

    private Duration delay() {
        if (!calm && random.nextDouble() < LATE_PART) {
            return millis(random.nextInt((int) MOST_DELAY.toMillis()));
        }
        return millis(1 + random.nextInt(USUAL_MOST_MILLIS));
    }

    private static Duration millis(int count) {
        return Duration.ofMillis(count);
    }
}
