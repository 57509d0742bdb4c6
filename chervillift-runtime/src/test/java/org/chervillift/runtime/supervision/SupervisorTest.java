package org.chervillift.runtime.supervision;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class SupervisorTest {

    private static final RestartPolicy TWICE =
            new RestartPolicy(2, Duration.ofSeconds(10), Duration.ofSeconds(1));

    private final ManualScheduler scheduler = new ManualScheduler();
    private final FakePart first = new FakePart("first");
    private final FakePart second = new FakePart("second");
    private final List<Throwable> escalated = new ArrayList<>();
    private final Supervisor supervisor =
            new Supervisor("root", List.of(first, second), TWICE, scheduler);

    @Test
    void restartsOnlyTheFailedPart() {
        supervisor.start(escalated::add);

        first.fail();
        scheduler.advance(Duration.ofSeconds(1));

        assertThat(first.starts).isEqualTo(2);
        assertThat(second.starts).isEqualTo(1);
        assertThat(escalated).isEmpty();
    }

    @Test
    void givesUpWhenRestartsComeTooOften() {
        supervisor.start(escalated::add);

        for (int i = 0; i < 3; i++) {
            first.fail();
            scheduler.advance(Duration.ofSeconds(1));
        }

        assertThat(first.starts).isEqualTo(3);
        assertThat(escalated).hasSize(1);
    }

    @Test
    void forgetsRestartsOutsideTheWindow() {
        supervisor.start(escalated::add);

        for (int i = 0; i < 5; i++) {
            first.fail();
            scheduler.advance(Duration.ofSeconds(11));
        }

        assertThat(first.starts).isEqualTo(6);
        assertThat(escalated).isEmpty();
    }

    @Test
    void doesNotRestartWhileStopping() {
        supervisor.start(escalated::add);

        supervisor.stop();
        first.fail();
        scheduler.advance(Duration.ofSeconds(5));

        assertThat(first.starts).isEqualTo(1);
    }

    private static final class FakePart implements Part {
        private final String name;
        private Consumer<Throwable> onFailure;
        private int starts;

        FakePart(String name) {
            this.name = name;
        }

        void fail() {
            onFailure.accept(new IllegalStateException("told to fail"));
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public CompletionStage<Void> start(Consumer<Throwable> listener) {
            starts++;
            onFailure = listener;
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Void> stop() {
            return CompletableFuture.completedFuture(null);
        }
    }
}
