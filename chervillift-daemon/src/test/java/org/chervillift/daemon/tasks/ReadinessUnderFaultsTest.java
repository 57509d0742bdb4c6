package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.chervillift.api.platform.Readiness.State;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that only a store which does not answer keeps a process from ready, and not for ever. */
class ReadinessUnderFaultsTest extends FaultyPlatformTestBase {

    private static final int ALL = Integer.MAX_VALUE;
    private static final long READY_WITHIN_MILLIS = 1_000;
    private static final long READY_AGAIN_WITHIN_MILLIS = 4_000;

    @ParameterizedTest
    @EnumSource
    void listsThatFailDoNotKeepAProcessFromReady(CallFault fault) {
        platform.failNext("list", fault, ALL);
        TaskNode node = startHolder();
        assertThat(node.readiness().state()).isEqualTo(State.READY);
        fixture.advanceMillis(20_000);
        assertThat(node.isReady()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {300, 2_000, 30_000})
    void slowListsDoNotKeepAProcessFromReady(int millis) {
        fixture.fleet.setListLatency(Duration.ofMillis(millis));
        TaskNode node = startHolder();
        assertThat(node.isReady()).isTrue();
        fixture.advanceMillis(20_000);
        assertThat(node.isReady()).isTrue();
    }

    @Test
    void aListWithoutVmsDoesNotKeepAProcessFromReady() {
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(READY_WITHIN_MILLIS);
        assertThat(node.isReady()).isTrue();
    }

    /** A process that met a store which was down, or did not answer, at its start. */
    @ParameterizedTest
    @EnumSource(names = {"DOWN", "SILENT"})
    void aProcessIsReadySoonAfterTheStoreIsBack(StoreFault fault) {
        fixture.store.setFault(fault);
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(15_000);
        assertThat(node.readiness().state()).isEqualTo(State.STORE_UNRESPONSIVE);
        assertThat(node.readiness().storeFailure()).isPresent();
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(READY_AGAIN_WITHIN_MILLIS);
        assertThat(node.readiness().state()).isEqualTo(State.READY);
    }

    @ParameterizedTest
    @EnumSource
    void aProcessIsReadyAfterItsFirstReadsHaveFailed(CallFault fault) {
        platform.failNext("scan op", fault, 3);
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(60_000);
        assertThat(platform.isDone("scan op")).isTrue();
        assertThat(node.readiness().state()).isEqualTo(State.READY);
    }
}
