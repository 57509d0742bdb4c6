package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.runtime.supervision.ManualScheduler;

/** Carries calls to the table: late, lost on the way there, or lost on the way back. */
final class Network {

    static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final ManualScheduler scheduler;
    private final RandomGenerator random;
    private final Set<String> cut = new HashSet<>();
    private boolean down;
    private boolean slow;
    private int lostPercent;

    Network(ManualScheduler scheduler, RandomGenerator random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    void setDown(boolean value) {
        down = value;
    }

    void setSlow(boolean value) {
        slow = value;
    }

    void setLostPercent(int percent) {
        lostPercent = percent;
    }

    void cut(String dataCentre) {
        cut.add(dataCentre);
    }

    void heal(String dataCentre) {
        cut.remove(dataCentre);
    }

    boolean isCut(String dataCentre) {
        return cut.contains(dataCentre);
    }

    boolean isReachable(String dataCentre) {
        return !down && !cut.contains(dataCentre);
    }

    /** Makes a call; the answer is one event, at the latest at the timeout. */
    void call(String dataCentre, Supplier<LimitEvent> work, Consumer<LimitEvent> answer) {
        Once once = new Once(answer);
        scheduler.schedule(CALL_TIMEOUT, () -> once.accept(new LimitEvent.RequestFailed()));
        if (isLost()) {
            return;
        }
        scheduler.schedule(delay(), () -> arrive(dataCentre, work, once));
    }

    private void arrive(String dataCentre, Supplier<LimitEvent> work, Once once) {
        if (!isReachable(dataCentre)) {
            return;
        }
        LimitEvent result = work.get();
        if (isLost()) {
            return;
        }
        scheduler.schedule(
                delay(),
                () -> {
                    if (isReachable(dataCentre)) {
                        once.accept(result);
                    }
                });
    }

    private boolean isLost() {
        return random.nextInt(100) < lostPercent;
    }

    private Duration delay() {
        if (random.nextInt(1_000) == 0 && lostPercent > 0) {
            return Duration.ofSeconds(random.nextInt(2, 30));
        }
        return Duration.ofMillis(slow ? random.nextInt(1, 1_500) : random.nextInt(1, 6));
    }

    private static final class Once implements Consumer<LimitEvent> {
        private final Consumer<LimitEvent> answer;
        private boolean answered;

        Once(Consumer<LimitEvent> answer) {
            this.answer = answer;
        }

        @Override
        public void accept(LimitEvent event) {
            if (!answered) {
                answered = true;
                answer.accept(event);
            }
        }
    }
}
