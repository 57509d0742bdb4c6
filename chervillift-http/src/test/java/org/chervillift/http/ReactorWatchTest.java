package org.chervillift.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.chervillift.http.ReactorWatch.Stall;
import org.chervillift.http.ReactorWatch.TurnCounter;
import org.junit.jupiter.api.Test;

/** Tests that an event loop which is held up is noticed, and one that goes on is not. */
class ReactorWatchTest {

    @Test
    void checksWithoutATurnAreCountedBeyondTheFirst() {
        TurnCounter turns = new TurnCounter();
        assertThat(turns.record(1)).isZero();
        assertThat(turns.record(3)).isZero();
        assertThat(turns.record(3)).isZero();
        assertThat(turns.record(3)).isEqualTo(1);
        assertThat(turns.record(3)).isEqualTo(2);
        assertThat(turns.record(4)).isZero();
    }

    @Test
    void aLoopThatIsHeldUpIsToldWithTheCallThatHoldsIt() throws Exception {
        BlockingQueue<Stall> stalls = new LinkedBlockingQueue<>();
        CountDownLatch released = new CountDownLatch(1);
        try (ReactorThread thread = new ReactorThread("watched")) {
            ReactorWatch.start(thread.reactor(), stalls::add);
            thread.reactor().execute(() -> holdUp(released));
            Stall stall = stalls.poll(30, TimeUnit.SECONDS);
            released.countDown();
            assertThat(stall).isNotNull();
            assertThat(stall.stack().toString()).contains("holdUp");
        }
    }

    private static void holdUp(CountDownLatch released) {
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
