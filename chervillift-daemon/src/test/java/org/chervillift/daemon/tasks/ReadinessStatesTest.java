package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.chervillift.api.platform.Readiness.State;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests that each state between the start of a process and its end is told. */
class ReadinessStatesTest extends FaultyPlatformTestBase {

    private static final int ALL = Integer.MAX_VALUE;
    private static final long FOLLOWED_FOR_MILLIS = 3_500;

    private void assertTold(TaskNode node, State state, String meaning) {
        assertThat(node.readiness().state()).isEqualTo(state);
        assertThat(node.readiness().sentence()).contains(meaning);
        assertThat(new String(node.metrics(), StandardCharsets.UTF_8))
                .containsOnlyOnce("\nchervillift_readiness_seconds{")
                .contains("chervillift_readiness_seconds{state=\"" + state + "\"}");
    }

    @Test
    void operatorRowsThatWereNotRead() {
        TaskNode node = fixture.startNode("a", platform);
        assertTold(node, State.OPERATOR_ROWS_UNREAD, "not been read");
    }

    @Test
    void aStoreThatDoesNotRespond() {
        fixture.store.setFault(StoreFault.DOWN);
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(1_000);
        assertTold(node, State.STORE_UNRESPONSIVE, "last failure of the store: ");
    }

    @Test
    void operatorRowsWithoutAConfiguration() {
        fixture.removeConfiguration();
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(1_000);
        assertTold(node, State.NO_CONFIGURATION, "contain no configuration");
        fixture.configure(fixture.manifest(2, Set.of(NodeFixture.KEY)));
        fixture.advanceMillis(1_000);
        assertTold(node, State.READY, "ready");
    }

    @Test
    void operatorRowsWhoseChangesDoNotCome() {
        TaskNode node = startHolder();
        assertTold(node, State.READY, "ready");
        platform.failNext("follow op", CallFault.NO_ANSWER, ALL);
        State seen = State.READY;
        for (long t = 0; t < 4 * FOLLOWED_FOR_MILLIS && seen == State.READY; t += 100) {
            fixture.advanceMillis(100);
            seen = node.readiness().state();
        }
        assertTold(node, State.OPERATOR_ROWS_NOT_FOLLOWED, "are not received");
    }

    @Test
    void aProcessThatShutsDown() {
        TaskNode node = startHolder();
        node.drain();
        assertTold(node, State.STOPPING, "shuts down");
    }
}
